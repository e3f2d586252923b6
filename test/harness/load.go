package harness

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/load"
)

// Defaults of the load options.
const (
	defaultRate        = 200
	defaultWorkMillis  = 10
	defaultConcurrency = 256
	// defaultTimeout is how long callers wait for an answer, and so when a
	// request to a paused entry fails.
	defaultTimeout = 2 * requestDeadline
)

// Load sends requests of callers in the background.
type Load struct {
	cancel context.CancelFunc
	done   chan struct{}
	sum    load.Summary
	err    error
}

// Load starts callers that send to the given entries, or to all if none are
// given, until Stop. Options that are not set get defaults; Entries and
// ControlURL are always set here.
func (c *Cluster) Load(opts load.Options, entries ...*Process) *Load {
	if len(entries) == 0 {
		entries = c.Entries()
	}
	for _, e := range entries {
		opts.Entries = append(opts.Entries, e.CallerURL())
	}
	opts.ControlURL = c.ControlURL
	if opts.Rate == 0 {
		opts.Rate = defaultRate
	}
	if opts.WorkMillis == 0 {
		opts.WorkMillis = defaultWorkMillis
	}
	if opts.Concurrency == 0 {
		opts.Concurrency = defaultConcurrency
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Duration == 0 && opts.Count == 0 {
		opts.Duration = 2 * Timeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cancel: cancel, done: make(chan struct{})}
	c.loads = append(c.loads, l)
	go func() {
		defer close(l.done)
		l.sum, l.err = load.Run(ctx, opts)
	}()
	return l
}

// Stop ends the load, waits for the outcomes of all requests, and expects
// that every guarantee to callers held.
func (l *Load) Stop() load.Summary {
	ginkgo.GinkgoHelper()
	l.cancel()
	return l.Finish()
}

// Finish waits for a load that ends by itself, with the same expectation as
// Stop.
func (l *Load) Finish() load.Summary {
	ginkgo.GinkgoHelper()
	gomega.Eventually(l.done, Timeout).Should(gomega.BeClosed())
	gomega.Expect(l.err).NotTo(gomega.HaveOccurred())
	gomega.Expect(l.sum.OK()).To(gomega.BeTrue(), "a guarantee to callers was violated: %+v", l.sum)
	return l.sum
}

// Wait waits until a load with a fixed number of requests is complete, with
// the same expectation as Stop.
func (l *Load) Wait() load.Summary {
	ginkgo.GinkgoHelper()
	gomega.Eventually(l.done, Timeout).Should(gomega.BeClosed())
	return l.Stop()
}

func (l *Load) cancelAndWait() {
	l.cancel()
	<-l.done
}
