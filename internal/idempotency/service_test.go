package idempotency

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"math/big"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/peer"
)

// waitTimeout bounds waits for a condition; no result depends on it.
const waitTimeout = 20 * time.Second

// fakeLog folds each record at once, for every entry in turn.
type fakeLog struct {
	mu      sync.Mutex
	down    atomic.Bool
	offset  uint64
	seen    map[string]bool
	state   *State
	entries []*Service
}

func (f *fakeLog) Append(_ context.Context, id, _ string, body any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down.Load() {
		return &LogUnavailableError{Cause: &NoOwnerError{}}
	}
	if f.seen[id] {
		return nil
	}
	f.seen[id] = true
	f.offset++
	meta := fold.Meta{Offset: f.offset, TimeMillis: time.Now().UnixMilli()}
	switch b := body.(type) {
	case *ClaimBatch:
		v, results := f.state.ApplyClaims(meta, *b, func(string) (string, bool) { return "1", true })
		for _, s := range f.entries {
			s.OnClaimsFolded(id, *b, v, results)
		}
	case *FinishBatch:
		v, results := f.state.ApplyFinishes(meta, *b)
		for _, s := range f.entries {
			s.OnFinishesFolded(id, *b, v, results)
		}
	}
	return nil
}

var _ = Describe("Services connected by peer calls", func() {
	var log *fakeLog
	var nodes []*peer.Node
	c := Claim{Service: "settle", Key: "tab 7", Fingerprint: [16]byte{1}}
	claimBy := func(attempt string) Claim { c := c; c.Attempt = attempt; return c }
	withTimeout := func(d time.Duration) context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		DeferCleanup(cancel)
		return ctx
	}
	ownerIndex := func() int {
		owner, err := log.entries[0].view.Load().owner(HashKey(c.Service, c.Key))
		Expect(err).NotTo(HaveOccurred())
		return int(owner.ID[0] - 'a')
	}

	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(before) }).WithTimeout(waitTimeout).Should(Succeed())
		})
		log, nodes = &fakeLog{seen: map[string]bool{}, state: NewState()}, nil
		sign := newSigner()
		addrs := map[string]string{}
		var view View
		for _, id := range []string{"a", "b", "c"} {
			self := Member{ID: id, BootID: "1", Zone: "z" + id}
			view.Members = append(view.Members, self)
			n, err := peer.NewNode(peer.Options{
				Self: peer.Identity{ID: id, Role: "entry", BootID: "1", Zone: self.Zone}, Deployment: "island",
				TLS: sign(peer.CertificateURI("island", "entry", id)), Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler),
			})
			Expect(err).NotTo(HaveOccurred())
			s := NewService(Options{Self: self, Node: n, Table: log.state, Journal: log, Limits: DefaultLimits, Logger: slog.New(slog.DiscardHandler)})
			Expect(n.Start()).To(Succeed())
			DeferCleanup(func() { s.Close(); Expect(n.Close()).To(Succeed()) })
			addrs[id] = n.LocalAddr().String()
			nodes, log.entries = append(nodes, n), append(log.entries, s)
		}
		for i, s := range log.entries {
			Expect(nodes[i].SetPeers(addrs)).To(Succeed())
			s.SetView(view)
		}
		Eventually(func() bool { return log.entries[ownerIndex()].Status().CaughtUp }).WithTimeout(waitTimeout).Should(BeTrue())
	})

	// Three entries receive the same request three times each, all at once. One of
	// them dispatches it; all get the same answer.
	It("dispatches once and gives every caller the same answer", func() {
		var ran atomic.Int32
		var wg sync.WaitGroup
		for i := range 9 {
			s, c := log.entries[i%3], claimBy(string(rune('0'+i)))
			wg.Go(func() {
				defer GinkgoRecover()
				d, a, err := s.Begin(withTimeout(waitTimeout), c)
				Expect(err).NotTo(HaveOccurred())
				if d == DecisionRun {
					ran.Add(1)
					s.Finish(c, OutcomeAnswered, &Answer{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("receipt")})
					return
				}
				Expect(d).To(Equal(DecisionReplay))
				Expect(a).To(Equal(&Answer{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("receipt")}))
			})
		}
		wg.Wait()
		Expect(ran.Load()).To(BeEquivalentTo(1))
		for _, s := range log.entries {
			Expect(s.Drain(withTimeout(waitTimeout))).To(Succeed())
		}
	})

	// A caller's deadline passes while another attempt runs, and that attempt turns
	// out not to have run. The key is free for the next attempt.
	It("refuses at the deadline and frees the key of an attempt that did not run", func() {
		entry := log.entries[(ownerIndex()+1)%3]
		Expect(expectDecided(entry.Begin(withTimeout(waitTimeout), claimBy("1")))).To(Equal(DecisionRun))
		_, _, err := entry.Begin(withTimeout(50*time.Millisecond), claimBy("2"))
		Expect(err).To(BeAssignableToTypeOf(&NotRunError{}))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		entry.Finish(claimBy("1"), OutcomeNotRun, nil)
		Expect(expectDecided(entry.Begin(withTimeout(waitTimeout), claimBy("3")))).To(Equal(DecisionRun))
	})

	// The log is down. The claim is granted through a witness, and both append it
	// after the outage.
	It("grants through a witness while the log is down", func() {
		log.down.Store(true)
		owner := log.entries[ownerIndex()]
		entry := log.entries[(ownerIndex()+1)%3]
		Expect(expectDecided(entry.Begin(withTimeout(waitTimeout), claimBy("1")))).To(Equal(DecisionRun))
		Expect(owner.Flushed()).To(BeFalse())
		log.down.Store(false)
		for _, s := range log.entries {
			Eventually(s.Flushed).WithTimeout(waitTimeout).Should(BeTrue())
		}
		holder, _ := log.state.Lookup(HashKey(c.Service, c.Key))
		Expect(holder.Attempt).To(Equal(HashAttempt("1")))
	})

	// The owner crashes while the log is down. Its keys are refused at once as not
	// run, and no other entry takes them over.
	It("refuses keys of an unreachable owner", func() {
		log.down.Store(true)
		closed := ownerIndex()
		log.entries[closed].Close()
		Expect(nodes[closed].Close()).To(Succeed())
		_, _, err := log.entries[(closed+1)%3].Begin(withTimeout(waitTimeout), claimBy("1"))
		Expect(err).To(BeAssignableToTypeOf(&NotRunError{}))
		Expect(err).To(HaveField("Cause", BeAssignableToTypeOf(&peer.UnreachableError{})))
		_, _, err = log.entries[(closed+1)%3].Begin(withTimeout(waitTimeout), Claim{})
		Expect(err).To(HaveField("Cause", BeAssignableToTypeOf(&KeyError{})))
	})
})

func expectDecided(d Decision, _ *Answer, err error) Decision {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return d
}

// newSigner returns a function that makes a TLS configuration for a name, signed
// by one test CA.
func newSigner() func(uri *url.URL) *tls.Config {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	parsed, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return func(uri *url.URL) *tls.Config {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		cert := &x509.Certificate{
			SerialNumber: big.NewInt(2), URIs: []*url.URL{uri}, NotBefore: ca.NotBefore, NotAfter: ca.NotAfter,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		}
		der, err := x509.CreateCertificate(rand.Reader, cert, parsed, &key.PublicKey, caKey)
		Expect(err).NotTo(HaveOccurred())
		return &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	}
}
