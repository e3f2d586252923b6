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
		a, b = start(ca.options("a", "1")), start(ca.options("b", "1"))
		join(a, b)
	})

	It("answers both ways and knows the caller from its certificate", func() {
		echo(a)
		echo(b)
		Expect(say(within(settle), a, "b", "hi")).To(Equal("a/1:hi"))
		Expect(say(within(settle), b, "a", "ho")).To(Equal("b/1:ho"))
		Expect(a.Status()[0]).To(And(HaveField("Linked", true), HaveField("Zone", "z-b")))
	})

	It("carries the type of a remote error", func() {
		Handle(b, "brew", func(context.Context, Identity, ping) (ping, error) { return ping{}, &teaError{} })
		_, err := Call[ping, ping](within(settle), a, "b", "brew", ping{})
		Expect(err).To(MatchError(&RemoteError{Kind: "brew", Type: "peer.teaError", Detail: "no coffee here"}))
		_, err = Call[ping, ping](within(settle), a, "b", "nothing", ping{})
		Expect(err).To(HaveField("Type", "peer.UnknownKindError"))
		_, err = Call[string, ping](within(settle), a, "b", "brew", "another shape")
		Expect(err).To(HaveField("Type", "peer.DecodeError"))
	})

	It("refuses what is too large before sending, and carries what a kind allows", func() {
		size := func(_ context.Context, _ Identity, p ping) (int, error) { return len(p.Text), nil }
		Handle(b, "size", size)
		Handle(b, "state", size, MaxBytes(MaxTransfer))
		large := ping{Text: strings.Repeat("x", 8<<20)}
		_, err := Call[ping, int](within(settle), a, "b", "size", large)
		Expect(err).To(BeAssignableToTypeOf(&TooLargeError{}))
		Expect(Call[ping, int](within(settle), a, "b", "state", large, MaxBytes(MaxTransfer))).To(Equal(8 << 20))
	})

	// The caller gives up while the handler runs. It must not be told that the
	// request did not run, and the handler must learn that nobody waits.
	It("says unknown when the caller gives up on a request that was sent", func() {
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
		Eventually(ended).WithTimeout(settle).Should(BeClosed())
	})

	It("is certain when there is no such peer, no process or no time", func() {
		_, err := say(within(settle), a, "nobody", "hi")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = say(ended, a, "b", "hi")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(b.Close()).To(Succeed())
		_, err = say(within(settle), a, "b", "hi")
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(a.SetPeers(map[string]string{"c": "host:1"})).To(MatchError(ContainSubstring("peer c")))
	})

	// A node closes with a call in flight. The caller still gets its answer:
	// the node tells the caller, which closes the connection after reading it.
	It("lets calls in flight end on a graceful close", func() {
		started, release := make(chan struct{}), make(chan struct{})
		Handle(b, "work", func(context.Context, Identity, ping) (ping, error) {
			close(started)
			<-release
			return ping{Text: "done"}, nil
		})
		answers := make(chan string, 1)
		go func() {
			answer, _ := Call[ping, ping](within(settle), a, "b", "work", ping{})
			answers <- answer.Text
		}()
		<-started
		closed := make(chan struct{})
		go func() { _ = b.Close(); close(closed) }()
		Eventually(func() error { _, err := b.remote("a"); return err }).Should(HaveOccurred())
		close(release)
		Eventually(answers).WithTimeout(settle).Should(Receive(Equal("done")))
		Eventually(closed).WithTimeout(closeGrace).Should(BeClosed())
	})

	It("closes connections of peers that are no longer wanted", func() {
		echo(b)
		Expect(say(within(settle), a, "b", "hi")).To(Equal("a/1:hi"))
		Expect(a.SetPeers(nil)).To(Succeed())
		Eventually(func() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.incoming) }).
			WithTimeout(settle).Should(BeZero())
		join(a, b)
		Expect(say(within(settle), a, "b", "again")).To(Equal("a/1:again"))
	})
})

var _ = Describe("notices", func() {
	BeforeEach(checkLeaks)

	It("delivers in order, and the newest always arrives", func() {
		ca := newAuthority()
		a, b, c := start(ca.options("a", "1")), start(ca.options("b", "1")), start(ca.options("c", "1"))
		join(a, b, c)
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
			WithTimeout(settle).Should(Equal(fmt.Sprintf("map[b<a:%d c<a:%d]", count, count)))
	})
})

var _ = Describe("boots", func() {
	at := time.Unix(0, 0)

	// A frozen process wakes after its successor has linked. It is refused for
	// as long as the successor is there, and messages it left are dropped.
	It("refuses an older boot while the newer one is linked", func() {
		b := newBoots()
		Expect(b.admit("a", "old", at)).To(BeFalse())
		Expect(b.admit("a", "new", at)).To(BeTrue())
		b.attach("a", "new")
		_, err := b.admit("a", "old", at.Add(time.Hour))
		Expect(err).To(Equal(&StaleBootError{ID: "a", BootID: "old", Current: "new"}))
		Expect(b.isCurrent("a", "old")).To(BeFalse())
		b.detach("a", "new", at.Add(time.Hour))
		_, err = b.admit("a", "old", at.Add(time.Hour+retiredGrace-1))
		Expect(err).To(HaveOccurred())
	})

	// The last packets of a dead process arrive after its successor's first.
	// The successor is shut out, but only until the dead one's link is gone.
	It("lets a boot back in that was retired by mistake", func() {
		b := newBoots()
		Expect(b.admit("a", "new", at)).To(BeFalse())
		Expect(b.admit("a", "dead", at)).To(BeTrue())
		b.attach("a", "dead")
		b.detach("a", "dead", at.Add(idleTimeout))
		Expect(b.admit("a", "new", at.Add(idleTimeout+retiredGrace))).To(BeTrue())
	})

	It("links the newer boot and closes the older one's connections", func() {
		checkLeaks()
		ca := newAuthority()
		b := start(ca.options("b", "1"))
		echo(b)
		old := start(ca.options("a", "1"))
		join(old, b)
		Expect(say(within(settle), old, "b", "hi")).To(Equal("a/1:hi"))
		newer := start(ca.options("a", "2"))
		join(newer, b)
		Expect(say(within(settle), newer, "b", "hi")).To(Equal("a/2:hi"))
		Eventually(func() error { _, err := say(within(settle), old, "b", "hi"); return err }).
			WithTimeout(settle).Should(MatchError(ContainSubstring("stale_boot")))
		Expect(say(within(settle), newer, "b", "hi")).To(Equal("a/2:hi"))
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
