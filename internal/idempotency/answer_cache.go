package idempotency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits on the answers that an owner caches for replay. The byte limit bounds
// long answers, the count short ones. A repeated request whose answer has been
// evicted gets DecisionFinished.
const (
	maxAnswersBytes = 64 << 20
	maxAnswers      = 1 << 16
	// answerOverhead is the memory counted for an answer besides its content,
	// headerOverhead that for each header value.
	answerOverhead = 256
	headerOverhead = 16
)

// Size returns the bytes that count toward MaxAnswerBytes.
func (a *Answer) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v) + headerOverhead
		}
	}
	return size
}

// finishedRequest is a request that has run.
type finishedRequest struct {
	fingerprint [16]byte
	// answer is nil if it was too large to cache.
	answer     *Answer
	finishedAt time.Time
}

func (e finishedRequest) size() int {
	if e.answer == nil {
		return answerOverhead
	}
	return answerOverhead + e.answer.Size()
}

// answerCache is an LRU cache of finished requests with a limit in bytes.
type answerCache struct {
	lru      *simplelru.LRU[KeyHash, finishedRequest]
	bytes    int
	maxBytes int
}

func newAnswerCache(maxBytes int) *answerCache {
	a := &answerCache{maxBytes: maxBytes}
	lru, err := simplelru.NewLRU(maxAnswers, func(_ KeyHash, e finishedRequest) { a.bytes -= e.size() })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	a.lru = lru
	return a
}

func (a *answerCache) put(key KeyHash, e finishedRequest) {
	if e.answer != nil && e.answer.Size() > MaxAnswerBytes {
		e.answer = nil
	}
	a.lru.Remove(key)
	a.lru.Add(key, e)
	a.bytes += e.size()
	for a.bytes > a.maxBytes {
		a.lru.RemoveOldest()
	}
}

// get ignores entries older than Retention: their key counts as new, as it does
// in the fold.
func (a *answerCache) get(now time.Time, key KeyHash) (finishedRequest, bool) {
	e, ok := a.lru.Get(key)
	if !ok || now.Sub(e.finishedAt) >= Retention {
		return finishedRequest{}, false
	}
	return e, true
}
