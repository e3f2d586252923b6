package intake

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// smallBody is the size up to which a body is read that its handler has not asked for, so that its
	// connection can be used again, if it has arrived within arrivedTime.
	smallBody   = 8 << 10
	arrivedTime = 2 * time.Millisecond
	// blockSize is the size of the blocks in which a body arrives, in bytes.
	blockSize = 4 << 10
)

// body is the body of a request on a guarded connection.
type body struct {
	conn    *conn
	answer  http.ResponseWriter
	control *http.ResponseController
	source  io.ReadCloser
	// length is the announced size in bytes, -1 for none.
	length int64
	// awaitsContinue is set if the client sends the body only when it is asked for.
	awaitsContinue bool
	// blocks hold what has arrived, received bytes; data is the whole body, once ended is set. err is set if
	// reading has failed.
	blocks   []*block
	received int64
	data     []byte
	ended    bool
	err      error
}

// beforeAnswer makes the connection close with the answer if the body has not been read to its end: a
// client that stops short of it could otherwise delay the answer and keep the connection open.
func (b *body) beforeAnswer() {
	if !b.awaitsContinue && b.length >= 0 && b.length <= smallBody {
		_ = b.readOnce(smallBody, time.Now().Add(arrivedTime)) // what is left decides below
	}
	if b.ended {
		return
	}
	b.conn.setIncomplete()
	b.answer.Header().Set("Connection", "close")
	// The server reads on before it sends the answer, unless that fails at once.
	_ = b.control.SetReadDeadline(expired) // fails only if the connection is closed
}

func (c *conn) setIncomplete() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.incomplete = true
}

// Read reads the body for handlers that do not call ReadBody.
func (b *body) Read(p []byte) (int, error) {
	if err := b.readOnce(b.conn.guard.MaxBody(), b.latest(time.Time{})); err != nil {
		return 0, err
	}
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close closes the body of the HTTP server.
func (b *body) Close() error { return b.source.Close() }

// latest returns the deadline of the body, if its caller sets the given one; zero for none.
func (b *body) latest(deadline time.Time) time.Time {
	latest := time.Now().Add(b.conn.guard.limits.BodyTimeout)
	if !deadline.IsZero() && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// ReadBody returns the whole body of a request, at most limit bytes (0 for what the guard allows), which
// must arrive by the deadline (zero for what the guard allows). The memory counts against the guard of the connection until the request has been
// answered. It fails with *TooLargeError, *NoMemoryError, *GivenUpError, *SlowError or *BrokenError;
// after any of them the connection closes with the answer.
func ReadBody(r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	if limit <= 0 {
		limit = math.MaxInt64
	}
	b, ok := r.Body.(*body)
	if !ok {
		return readUnguarded(r, limit)
	}
	err := b.readOnce(min(limit, b.conn.guard.MaxBody()), b.latest(deadline))
	return b.data, err
}

// readUnguarded reads a body outside a guarded server, as in tests of handlers.
func readUnguarded(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	switch {
	case errors.HasType(err, (*http.MaxBytesError)(nil)):
		return nil, &TooLargeError{Limit: limit}
	case err != nil:
		return nil, &BrokenError{Cause: err}
	}
	return data, nil
}

// readOnce reads the body to its end, unless it has been read or has failed before.
func (b *body) readOnce(limit int64, deadline time.Time) error {
	if !b.ended && b.err == nil {
		b.err = b.read(limit, deadline)
	}
	return b.err
}

func (b *body) read(limit int64, deadline time.Time) error {
	if b.length > limit {
		return &TooLargeError{Limit: limit}
	}
	begun := time.Now()
	_ = b.control.SetReadDeadline(deadline) // fails only if the connection is closed
	b.conn.setPhase(phaseBody)
	err := b.fill(limit)
	givenUp := b.conn.setPhase(phaseHandling)
	if err == nil {
		err = b.join()
	}
	b.freeBlocks()
	if err == nil {
		b.finish(deadline)
		return nil
	}
	var timeout interface{ Timeout() bool }
	switch {
	case givenUp:
		return &GivenUpError{}
	case errors.HasType(err, (*TooLargeError)(nil)), errors.HasType(err, (*NoMemoryError)(nil)):
		return err
	case errors.As(err, &timeout) && timeout.Timeout():
		return &SlowError{Received: b.received, Waited: time.Since(begun)}
	}
	return &BrokenError{Cause: err}
}

// finish lifts the read deadline. The server watches for the end of the connection from the end of the
// body on, and takes a deadline that passes meanwhile for that end: the connection is not used again.
func (b *body) finish(deadline time.Time) {
	b.ended = true
	_ = b.control.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	if !time.Now().Before(deadline) {
		b.answer.Header().Set("Connection", "close")
	}
}

// block is a part of a body that is arriving. Blocks are used again, as a crowd would otherwise leave
// them to the collector faster than it collects.
type block [blockSize]byte

var blockPool = sync.Pool{New: func() any { return new(block) }}

// fill reads into blocks until the end of the body.
func (b *body) fill(limit int64) error {
	for {
		free, err := b.room()
		if err != nil {
			return err
		}
		n, err := b.source.Read(free)
		b.received += int64(n)
		switch {
		case b.received > limit:
			return &TooLargeError{Limit: limit}
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// room returns the free part of the last block, of a new one if that is full.
func (b *body) room() ([]byte, error) {
	used := int(b.received % blockSize)
	if used > 0 || b.received < int64(len(b.blocks))*blockSize {
		return b.blocks[len(b.blocks)-1][used:], nil
	}
	if !b.conn.guard.charge(b.conn, blockSize) {
		return nil, &NoMemoryError{Bytes: blockSize}
	}
	b.blocks = append(b.blocks, blockPool.Get().(*block))
	return b.blocks[len(b.blocks)-1][:], nil
}

// join copies the blocks into data.
func (b *body) join() error {
	if !b.conn.guard.charge(b.conn, b.received) {
		return &NoMemoryError{Bytes: b.received}
	}
	b.data = make([]byte, 0, b.received)
	for _, part := range b.blocks {
		b.data = append(b.data, part[:min(blockSize, b.received-int64(len(b.data)))]...)
	}
	return nil
}

// freeBlocks releases the blocks.
func (b *body) freeBlocks() {
	for _, part := range b.blocks {
		blockPool.Put(part)
	}
	b.conn.guard.release(b.conn, int64(len(b.blocks))*blockSize)
	b.blocks = nil
}

// setPhase sets the phase and reports whether the connection has been given up.
func (c *conn) setPhase(p phase) (givenUp bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.phase = p
	if p == phaseBody {
		c.progressAt, c.sinceProgress = time.Now(), 0
	}
	return c.givenUp
}

// Hold charges memory that a request needs beside its body, such as what that decodes into, until
// release is called. It fails with *NoMemoryError. The context is that of a request; without a guard,
// nothing is charged.
func Hold(ctx context.Context, bytes int64) (release func(), err error) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}, nil
	}
	if !c.guard.charge(c, bytes) {
		return nil, &NoMemoryError{Bytes: bytes}
	}
	return func() { c.guard.release(c, bytes) }, nil
}
