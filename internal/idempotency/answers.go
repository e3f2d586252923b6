package idempotency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of the answers an owner keeps for replay. Both bound its memory: the
// bytes for long answers, the count for short ones. Past them a repeated
// request learns only that it has run.
const (
	maxAnswersBytes = 64 << 20
	maxAnswers      = 1 << 16
	// answerOverhead is what an answer costs beside its content, and
	// headerOverhead each value of a header.
	answerOverhead = 256
	headerOverhead = 16
)

// Size is what an answer counts for against MaxAnswerBytes.
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

// ended is a request that has run.
type ended struct {
	fingerprint [16]byte
	// answer is nil where it was too large to keep.
	answer *Answer
	at     time.Time
}

func (e ended) size() int {
	if e.answer == nil {
		return answerOverhead
	}
	return answerOverhead + e.answer.Size()
}

// answers is a cache with a bound in bytes; the least recently used go first.
type answers struct {
	lru      *simplelru.LRU[KeyHash, ended]
	bytes    int
	maxBytes int
}

func newAnswers(maxBytes int) *answers {
	a := &answers{maxBytes: maxBytes}
	lru, err := simplelru.NewLRU(maxAnswers, func(_ KeyHash, e ended) { a.bytes -= e.size() })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	a.lru = lru
	return a
}

func (a *answers) put(key KeyHash, e ended) {
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

// get leaves out what is older than the retention: the key is then a new one,
// here as in the fold.
func (a *answers) get(now time.Time, key KeyHash) (ended, bool) {
	e, ok := a.lru.Get(key)
	if !ok || now.Sub(e.at) >= Retention {
		return ended{}, false
	}
	return e, true
}
