package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// A frame is a four-byte big-endian length followed by that many bytes of CBOR.
const frameHeaderLen = 4

// CBOR limits for input from a broken or compromised peer. A nesting of 16 is
// twice what any message needs. The element counts allow the state of a large
// fleet and prevent a short message from announcing a huge table.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 18
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns v as CBOR of at most limit bytes.
func encode(v any, limit int) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	if len(data) > limit {
		return nil, &TooLargeError{Size: len(data), Limit: limit}
	}
	return data, nil
}

// decode reads one CBOR item that fills data. Input that is not well-formed
// CBOR fails with *FrameError: the peer is broken. CBOR that doesn't match the
// type of v fails with *DecodeError: the peer may only run another version, and
// other kinds still work.
func decode(data []byte, v any) error {
	if err := decMode.Wellformed(data); err != nil {
		return &FrameError{Detail: "not CBOR", Cause: err}
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// appendFrame appends data to buf as a frame.
func appendFrame(buf, data []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...)
}

// readLength reads the length of a frame and checks it against limit before
// anything is allocated for the body.
func readLength(r io.Reader, limit int) (int, error) {
	var head [frameHeaderLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, readError(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(limit) {
		return 0, &FrameError{Detail: "too large", Cause: &TooLargeError{Size: int(size), Limit: limit}}
	}
	return int(size), nil
}

// readBody reads size bytes. The buffer grows with the received data, so that a
// peer that announces a large message and sends nothing occupies no memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(min(size, MaxOrdinary))
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		// EOF inside a frame must be distinguishable from a stream that ended
		// between two frames.
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, readError(err)
	}
	return buf.Bytes(), nil
}

// readFrame reads one frame of at most limit bytes.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	size, err := readLength(r, limit)
	if err != nil {
		return nil, err
	}
	return readBody(r, size)
}

// readFrameInto reads one frame and decodes it into v. It is used for header
// frames, which belong to the protocol itself, so a mismatch with v is a
// protocol violation as well.
func readFrameInto(r io.Reader, limit int, v any) error {
	data, err := readFrame(r, limit)
	if err != nil {
		return err
	}
	if err := decode(data, v); err != nil {
		return &FrameError{Detail: "header", Cause: err}
	}
	return nil
}

// readError distinguishes a stream that ended inside a frame, which violates
// the protocol, from a stream that failed because of the network or because the
// peer ended.
func readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &FrameError{Detail: "truncated", Cause: err}
	}
	return linkError("read", err)
}
