package peer

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzReadFrame passes input of a broken or hostile peer to the decoder.
// Decoding must return a value or a typed error, and must not allocate more
// memory than has arrived.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, []byte{0xa2, 0x01, 0x61, 'k', 0x02, 0x05}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add(appendFrame(nil, bytes.Repeat([]byte{0x81}, maxNestedLevels+1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readFrame(bytes.NewReader(data), MaxOrdinary)
		if err != nil {
			checkTyped(t, err)
			return
		}
		if len(body) > len(data) {
			t.Fatalf("%d bytes out of %d", len(body), len(data))
		}
		var head callHeader
		checkTyped(t, decode(body, &head))
		var state map[string][]Identity
		checkTyped(t, decode(body, &state))
		checkTyped(t, (&Node{delivered: map[string]*noticeSeqs{}, boots: newBootTracker()}).readNotices(&link{}, bytes.NewReader(data)))
	})
}

func checkTyped(t *testing.T, err error) {
	t.Helper()
	var frame *FrameError
	var decodeErr *DecodeError
	if err != nil && !errors.As(err, &frame) && !errors.As(err, &decodeErr) {
		t.Fatalf("untyped: %v", err)
	}
}
