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

// Class groups the platform's operations for faults.
type Class string

// Classes of platform operations.
const (
	ClassAppend     Class = "append"
	ClassRead       Class = "read"
	ClassList       Class = "list"
	ClassOperations Class = "operations"
	ClassTasks      Class = "tasks"
)

// Classes lists all classes.
func Classes() []Class {
	return []Class{ClassAppend, ClassRead, ClassList, ClassOperations, ClassTasks}
}

// PlatformFault is what goes wrong with one class of operations. Probabilities
// are drawn from a generator that Seed starts.
type PlatformFault struct {
	// Down answers 503 and vouches that nothing happened.
	Down bool `json:"down,omitempty"`
	// Drop closes the connection before any effect; the caller cannot tell
	// this from a lost answer.
	Drop        bool  `json:"drop,omitempty"`
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LoseNext answers are lost after the effect: the connection is closed.
	LoseNext int `json:"lose_next,omitempty"`
	// RepeatNext calls take effect twice.
	RepeatNext        int     `json:"repeat_next,omitempty"`
	DownProbability   float64 `json:"down_probability,omitempty"`
	LoseProbability   float64 `json:"lose_probability,omitempty"`
	RepeatProbability float64 `json:"repeat_probability,omitempty"`
	Seed              uint64  `json:"seed,omitempty"`
}

// decision is what happens to one call.
type decision struct {
	down, drop, lose, repeat bool
	delay                    time.Duration
}

type activeFault struct {
	fault PlatformFault
	rng   *rand.Rand
}

// faultSet holds the present fault of each class.
type faultSet struct {
	mu      sync.Mutex
	classes map[Class]*activeFault
	// held are the bodies of the calls that a delay holds up.
	held map[*http.Request][]byte
}

func newFaultSet() *faultSet {
	return &faultSet{classes: map[Class]*activeFault{}, held: map[*http.Request][]byte{}}
}

// heldWith counts the calls that a delay holds up and whose body contains a text.
func (f *faultSet) heldWith(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, body := range f.held {
		if bytes.Contains(body, []byte(text)) {
			n++
		}
	}
	return n
}

// hold delays a call whose body has come, and reports whether its caller is still
// there.
func (f *faultSet) hold(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxRecordBytes+1))
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.mu.Lock()
	f.held[r] = body
	f.mu.Unlock()
	waited := sleep(r.Context(), delay)
	f.mu.Lock()
	delete(f.held, r)
	f.mu.Unlock()
	return waited
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
		down:   a.fault.Down || a.roll(a.fault.DownProbability),
		drop:   a.fault.Drop,
		lose:   take(&a.fault.LoseNext) || a.roll(a.fault.LoseProbability),
		repeat: take(&a.fault.RepeatNext) || a.roll(a.fault.RepeatProbability),
		delay:  time.Duration(a.fault.DelayMillis) * time.Millisecond,
	}
}

func (a *activeFault) roll(p float64) bool { return p > 0 && a.rng.Float64() < p }

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// wrap puts the class's faults around a handler. http.ErrAbortHandler makes
// the server close the connection without an answer.
func (f *faultSet) wrap(class Class, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d := f.decide(class)
		if !f.hold(r, d.delay) || d.drop {
			panic(http.ErrAbortHandler)
		}
		if d.down {
			w.Header().Set(platform.HeaderNotApplied, "true")
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if d.repeat {
			runOnce(next, r)
		}
		if d.lose {
			runOnce(next, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// runOnce lets the call take effect and throws the answer away. The body is
// kept, as the call may run again.
func runOnce(next http.HandlerFunc, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxRecordBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	next(discardWriter{header: http.Header{}}, r)
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// discardWriter takes an answer that nobody gets.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
