package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"log/slog"
	"math/big"
	"net/url"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

const (
	deployment = "island"
	// waitTimeout bounds the wait for a condition on a busy machine. No result
	// depends on it if the code is correct.
	waitTimeout = 20 * time.Second
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// authority signs test certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert: cert, key: key, pool: pool}
}

func (a *authority) tls(uris ...*url.URL) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), URIs: uris, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{
		RootCAs:      a.pool,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}
}

func (a *authority) options(id, boot string) Options {
	return Options{
		Self:       Identity{ID: id, Role: "entry", BootID: boot, Zone: "z-" + id},
		Deployment: deployment,
		TLS:        a.tls(CertificateURI(deployment, "entry", id)),
		Listen:     "127.0.0.1:0",
		Logger:     slog.New(slog.DiscardHandler),
	}
}

func startNode(opts Options) *Node {
	n, err := NewNode(opts)
	Expect(err).NotTo(HaveOccurred())
	Expect(n.Start()).To(Succeed())
	DeferCleanup(func() { Expect(n.Close()).To(Succeed()) })
	return n
}

// setMutualPeers makes the nodes wanted peers of each other.
func setMutualPeers(nodes ...*Node) {
	addrs := map[string]string{}
	for _, n := range nodes {
		addrs[n.Self().ID] = n.LocalAddr().String()
	}
	for _, n := range nodes {
		Expect(n.SetPeers(addrs)).To(Succeed())
	}
}

// checkLeaks fails the spec if goroutines outlast it.
func checkLeaks() {
	before := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		Eventually(func() error { return goleak.Find(before) }).WithTimeout(waitTimeout).Should(Succeed())
	})
}

func contextWithTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

type ping struct {
	Text string `cbor:"1,keyasint"`
}

func handleEcho(n *Node) {
	Handle(n, "echo", func(_ context.Context, from Identity, p ping) (ping, error) {
		return ping{Text: from.ID + "/" + from.BootID + ":" + p.Text}, nil
	})
}

func callEcho(ctx context.Context, n *Node, to, text string) (string, error) {
	answer, err := Call[ping, ping](ctx, n, to, "echo", ping{Text: text})
	return answer.Text, err
}
