package standin

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// Class is a group of platform operations that faults are set for.
type Class string

// Classes of platform operations.
const (
	ClassAppend     Class = "append"
	ClassRead       Class = "read"
	ClassList       Class = "list"
	ClassOperations Class = "operations"
	ClassTasks      Class = "tasks"
)

// Classes returns all classes.
func Classes() []Class {
	return []Class{ClassAppend, ClassRead, ClassList, ClassOperations, ClassTasks}
}

// PlatformFault describes the faults injected into one class of operations.
// Probabilities are drawn from a generator seeded with Seed.
type PlatformFault struct {
	// Down responds with 503 and states that the call was not applied.
	Down bool `json:"down,omitempty"`
	// Drop closes the connection before the call takes effect; the caller cannot
	// distinguish this from a lost response.
	Drop        bool  `json:"drop,omitempty"`
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LoseNext is the number of calls that take effect but whose connection is
	// closed without a response.
	LoseNext int `json:"lose_next,omitempty"`
	// RepeatNext is the number of calls that take effect twice.
	RepeatNext        int     `json:"repeat_next,omitempty"`
	DownProbability   float64 `json:"down_probability,omitempty"`
	LoseProbability   float64 `json:"lose_probability,omitempty"`
	RepeatProbability float64 `json:"repeat_probability,omitempty"`
	Seed              uint64  `json:"seed,omitempty"`
}

// decision is the set of faults injected into one call.
type decision struct {
	down, drop, lose, repeat bool
	delay                    time.Duration
}

type activeFault struct {
	fault PlatformFault
	rng   *rand.Rand
}

// faultSet holds the current fault of each class.
type faultSet struct {
	mu      sync.Mutex
	classes map[Class]*activeFault
	// delayedBodies holds the bodies of the calls that are currently delayed.
	delayedBodies map[*http.Request][]byte
}

func newFaultSet() *faultSet {
	return &faultSet{classes: map[Class]*activeFault{}, delayedBodies: map[*http.Request][]byte{}}
}

// countDelayed counts the delayed calls whose body contains text.
func (f *faultSet) countDelayed(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, body := range f.delayedBodies {
		if bytes.Contains(body, []byte(text)) {
			n++
		}
	}
	return n
}

// delayCall reads the body of a call, delays the call, and reports whether its
// caller is still connected.
func (f *faultSet) delayCall(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxRecordBytes+1))
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.mu.Lock()
	f.delayedBodies[r] = body
	f.mu.Unlock()
	stillConnected := sleep(r.Context(), delay)
	f.mu.Lock()
	delete(f.delayedBodies, r)
	f.mu.Unlock()
	return stillConnected
}

func (f *faultSet) set(class Class, fault PlatformFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.classes[class] = &activeFault{fault: fault, rng: rand.New(rand.NewPCG(fault.Seed, 0))}
}

func (f *faultSet) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.classes = map[Class]*activeFault{}
}

func (f *faultSet) decide(class Class) decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.classes[class]
	if a == nil {
		return decision{}
	}
	return decision{
		down:   a.fault.Down || a.drawsTrue(a.fault.DownProbability),
		drop:   a.fault.Drop,
		lose:   consumeOne(&a.fault.LoseNext) || a.drawsTrue(a.fault.LoseProbability),
		repeat: consumeOne(&a.fault.RepeatNext) || a.drawsTrue(a.fault.RepeatProbability),
		delay:  time.Duration(a.fault.DelayMillis) * time.Millisecond,
	}
}

func (a *activeFault) drawsTrue(p float64) bool { return p > 0 && a.rng.Float64() < p }

func consumeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// withFaults injects the faults of a class into a handler. http.ErrAbortHandler
// makes the server close the connection without a response.
func (f *faultSet) withFaults(class Class, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d := f.decide(class)
		if !f.delayCall(r, d.delay) || d.drop {
			panic(http.ErrAbortHandler)
		}
		if d.down {
			w.Header().Set(platform.HeaderNotApplied, "true")
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if d.repeat {
			runAndDiscardResponse(next, r)
		}
		if d.lose {
			runAndDiscardResponse(next, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// runAndDiscardResponse applies the call and discards its response. The body is
// restored because the call may run again.
func runAndDiscardResponse(next http.HandlerFunc, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxRecordBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	next(discardWriter{header: http.Header{}}, r)
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
