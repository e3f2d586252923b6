package peer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type teaError struct{}

func (*teaError) Error() string { return "no coffee here" }

var _ = Describe("calls", func() {
	var ca *authority
	var a, b *Node
	BeforeEach(func() {
		checkLeaks()
		ca = newAuthority()
		a, b = startNode(ca.options("a", "1")), startNode(ca.options("b", "1"))
		setMutualPeers(a, b)
	})

	It("answers in both directions and identifies the caller by its certificate", func() {
		handleEcho(a)
		handleEcho(b)
		Expect(callEcho(contextWithTimeout(waitTimeout), a, "b", "hi")).To(Equal("a/1:hi"))
		Expect(callEcho(contextWithTimeout(waitTimeout), b, "a", "ho")).To(Equal("b/1:ho"))
		Expect(a.Status()[0]).To(And(HaveField("Linked", true), HaveField("Zone", "z-b")))
	})

	It("carries the type of a remote error", func() {
		Handle(b, "brew", func(context.Context, Identity, ping) (ping, error) { return ping{}, &teaError{} })
		_, err := Call[ping, ping](contextWithTimeout(waitTimeout), a, "b", "brew", ping{})
		Expect(err).To(MatchError(&RemoteError{Kind: "brew", Type: "peer.teaError", Detail: "no coffee here"}))
		_, err = Call[ping, ping](contextWithTimeout(waitTimeout), a, "b", "nothing", ping{})
		Expect(err).To(HaveField("Type", "peer.UnknownKindError"))
		_, err = Call[string, ping](contextWithTimeout(waitTimeout), a, "b", "brew", "another shape")
		Expect(err).To(HaveField("Type", "peer.DecodeError"))
	})

	It("rejects an oversized message before sending, and sends what the limit of its kind allows", func() {
		size := func(_ context.Context, _ Identity, p ping) (int, error) { return len(p.Text), nil }
		Handle(b, "size", size)
		Handle(b, "state", size, MaxBytes(MaxTransfer))
		large := ping{Text: strings.Repeat("x", 8<<20)}
		_, err := Call[ping, int](contextWithTimeout(waitTimeout), a, "b", "size", large)
		Expect(err).To(BeAssignableToTypeOf(&TooLargeError{}))
		Expect(Call[ping, int](contextWithTimeout(waitTimeout), a, "b", "state", large, MaxBytes(MaxTransfer))).To(Equal(8 << 20))
	})

	// The caller cancels while the handler runs. It must not get an error that
	// says the request did not run, and the handler's context must be
	// cancelled.
	It("reports an unknown outcome if the caller cancels a sent request", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		Handle(b, "slow", func(ctx context.Context, _ Identity, _ ping) (ping, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return ping{}, ctx.Err()
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-started; cancel() }()
		_, err := Call[ping, ping](ctx, a, "b", "slow", ping{})
		Expect(err).To(BeAssignableToTypeOf(&OutcomeUnknownError{}))
		Expect(err).To(MatchError(context.Canceled))
		Eventually(ended).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("reports unreachable for an unknown peer, a cancelled context and a closed node, and rejects a malformed address", func() {
		_, err := callEcho(contextWithTimeout(waitTimeout), a, "nobody", "hi")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = callEcho(ended, a, "b", "hi")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(b.Close()).To(Succeed())
		_, err = callEcho(contextWithTimeout(waitTimeout), a, "b", "hi")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(a.SetPeers(map[string]string{"c": "host:1"})).To(MatchError(ContainSubstring("peer c")))
	})

	// A node closes with a call in flight. The caller must still get its
	// answer: the node announces its shutdown, and the caller closes the
	// connection after reading the answer.
	It("completes calls in flight on a graceful close", func() {
		started, release := make(chan struct{}), make(chan struct{})
		Handle(b, "work", func(context.Context, Identity, ping) (ping, error) {
			close(started)
			<-release
			return ping{Text: "done"}, nil
		})
		answers := make(chan string, 1)
		go func() {
			answer, _ := Call[ping, ping](contextWithTimeout(waitTimeout), a, "b", "work", ping{})
			answers <- answer.Text
		}()
		<-started
		closed := make(chan struct{})
		go func() { _ = b.Close(); close(closed) }()
		Eventually(func() error { _, err := b.remote("a"); return err }).Should(HaveOccurred())
		close(release)
		Eventually(answers).WithTimeout(waitTimeout).Should(Receive(Equal("done")))
		Eventually(closed).WithTimeout(closeGrace).Should(BeClosed())
	})

	It("closes connections of peers that are no longer wanted", func() {
		handleEcho(b)
		Expect(callEcho(contextWithTimeout(waitTimeout), a, "b", "hi")).To(Equal("a/1:hi"))
		Expect(a.SetPeers(nil)).To(Succeed())
		Eventually(func() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.incoming) }).
			WithTimeout(waitTimeout).Should(BeZero())
		setMutualPeers(a, b)
		Expect(callEcho(contextWithTimeout(waitTimeout), a, "b", "again")).To(Equal("a/1:again"))
	})
})

var _ = Describe("notices", func() {
	BeforeEach(checkLeaks)

	It("delivers in order and always delivers the newest", func() {
		ca := newAuthority()
		a, b, c := startNode(ca.options("a", "1")), startNode(ca.options("b", "1")), startNode(ca.options("c", "1"))
		setMutualPeers(a, b, c)
		var mu sync.Mutex
		last := map[string]int{}
		for _, n := range []*Node{b, c} {
			HandleNotice(n, "offset", func(from Identity, v int) {
				mu.Lock()
				defer mu.Unlock()
				key := n.Self().ID + "<" + from.ID
				if v <= last[key] {
					last["disorder"]++
				}
				last[key] = v
			})
		}
		const count = 5000
		for v := 1; v <= count; v++ {
			Expect(Notify(a, "b", "offset", v)).To(Succeed())
			Expect(Notify(a, "c", "offset", v)).To(Succeed())
			Expect(Notify(a, "c", "unknown", v)).To(Succeed())
		}
		Eventually(func() string { mu.Lock(); defer mu.Unlock(); return fmt.Sprint(last) }).
			WithTimeout(waitTimeout).Should(Equal(fmt.Sprintf("map[b<a:%d c<a:%d]", count, count)))
	})
})

var _ = Describe("boots", func() {
	at := time.Unix(0, 0)

	// A frozen process resumes after its successor has linked. It must be
	// refused while the successor is linked, and its messages must be dropped.
	It("refuses an older boot while the newer one is linked", func() {
		b := newBootTracker()
		Expect(b.admit("a", "old", at)).To(BeFalse())
		Expect(b.admit("a", "new", at)).To(BeTrue())
		b.addLink("a", "new")
		_, err := b.admit("a", "old", at.Add(time.Hour))
		Expect(err).To(Equal(&StaleBootError{ID: "a", BootID: "old", Current: "new"}))
		Expect(b.isCurrent("a", "old")).To(BeFalse())
		b.removeLink("a", "new", at.Add(time.Hour))
		_, err = b.admit("a", "old", at.Add(time.Hour+retiredBootGrace-1))
		Expect(err).To(HaveOccurred())
	})

	// The last packets of a crashed process arrive after the first ones of its
	// successor. The successor is refused, but only until the link of the
	// crashed process has timed out.
	It("readmits a boot that was retired by mistake", func() {
		b := newBootTracker()
		Expect(b.admit("a", "new", at)).To(BeFalse())
		Expect(b.admit("a", "dead", at)).To(BeTrue())
		b.addLink("a", "dead")
		b.removeLink("a", "dead", at.Add(idleTimeout))
		Expect(b.admit("a", "new", at.Add(idleTimeout+retiredBootGrace))).To(BeTrue())
	})

	It("links the newer boot and closes the older one's connections", func() {
		checkLeaks()
		ca := newAuthority()
		b := startNode(ca.options("b", "1"))
		handleEcho(b)
		old := startNode(ca.options("a", "1"))
		setMutualPeers(old, b)
		Expect(callEcho(contextWithTimeout(waitTimeout), old, "b", "hi")).To(Equal("a/1:hi"))
		newer := startNode(ca.options("a", "2"))
		setMutualPeers(newer, b)
		Expect(callEcho(contextWithTimeout(waitTimeout), newer, "b", "hi")).To(Equal("a/2:hi"))
		Eventually(func() error { _, err := callEcho(contextWithTimeout(waitTimeout), old, "b", "hi"); return err }).
			WithTimeout(waitTimeout).Should(MatchError(ContainSubstring("stale_boot")))
		Expect(callEcho(contextWithTimeout(waitTimeout), newer, "b", "hi")).To(Equal("a/2:hi"))
	})
})

var _ = Describe("backoff", func() {
	It("draws from a range that doubles up to its limit", func() {
		Expect(backoff(1, 0.999)).To(BeNumerically("<", backoffBase))
		Expect(backoff(2, 0.999)).To(BeNumerically(">", backoffBase))
		Expect(backoff(1000, 0.999)).To(BeNumerically("<", backoffMax))
		Expect(backoff(1000, 0)).To(BeZero())
	})
})
