package operator_test

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// TestDumpOnSignal is not a Ginkgo spec, because Ginkgo prints a progress report on
// SIGUSR1, which races with the specs.
func TestDumpOnSignal(t *testing.T) {
	g := NewWithT(t)
	logs := &lockedBuffer{}
	s, err := operator.New(operator.Options{Listen: loopback,
		Logger: operator.NewLogger(logs, slog.LevelInfo, operator.Process{})})
	g.Expect(err).NotTo(HaveOccurred())
	s.RegisterDump("pools", func() any { return []string{"tabs"} })
	g.Expect(s.Start()).To(Succeed())
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGUSR1)).To(Succeed())
	g.Eventually(logs.String, "10s").Should(ContainSubstring(`"section":"pools","state":["tabs"]`))
	g.Expect(s.Close()).To(Succeed())
}

// lockedBuffer is a log output that a test can read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func startServer(opts operator.Options) *operator.Server {
	s, err := operator.New(opts)
	Expect(err).NotTo(HaveOccurred())
	s.Handle("/extra", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	Expect(s.Start()).To(Succeed())
	DeferCleanup(func() { Expect(s.Close()).To(Succeed()) })
	return s
}

func get(client *http.Client, url string) (int, string) {
	r, err := client.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	return r.StatusCode, string(body)
}

var _ = Describe("server", func() {
	var (
		logs *lockedBuffer
		s    *operator.Server
		base string
	)
	BeforeEach(func() {
		logs = &lockedBuffer{}
		process := operator.Process{ID: "entry-1", Deployment: "portlouis", Zone: "zone-a"}
		s = startServer(operator.Options{Process: process, Listen: loopback,
			Logger: operator.NewLogger(logs, slog.LevelInfo, process),
			Status: func() any { return map[string]int{operator.AttrGeneration: 7} }})
		base = "http://" + s.Addr().String()
	})

	It("is live at once and ready only without reasons against it", func() {
		code, _ := get(http.DefaultClient, base+operator.PathLive)
		Expect(code).To(Equal(http.StatusOK))
		code, body := get(http.DefaultClient, base+operator.PathReady)
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(MatchJSON(`{"ready": false, "reasons": ["starting"]}`))
		s.SetReady(func() []string { return nil })
		code, body = get(http.DefaultClient, base+operator.PathReady)
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(MatchJSON(`{"ready": true, "reasons": []}`))
	})

	It("serves metrics, status and added handlers", func() {
		metrics.GetOrCreateCounter(`cyclamen_test_total`).Inc()
		_, body := get(http.DefaultClient, base+operator.PathMetrics)
		Expect(body).To(ContainSubstring("cyclamen_test_total"))
		_, body = get(http.DefaultClient, base+operator.PathStatus)
		Expect(body).To(And(ContainSubstring(`"entry-1"`), ContainSubstring(`"generation": 7`)))
		code, _ := get(http.DefaultClient, base+"/extra")
		Expect(code).To(Equal(http.StatusTeapot))
	})

	It("dumps all or the requested sections, and an error for one that cannot be encoded", func() {
		s.RegisterDump("pools", func() any { return []string{"tabs"} })
		s.RegisterDump("broken", func() any { return math.Inf(1) })
		_, body := get(http.DefaultClient, base+operator.PathDump)
		var dump map[string]json.RawMessage
		Expect(json.Unmarshal([]byte(body), &dump)).To(Succeed())
		Expect(dump).To(HaveLen(2))
		Expect(dump["pools"]).To(MatchJSON(`["tabs"]`))
		Expect(string(dump["broken"])).To(ContainSubstring(operator.AttrErrorType))
		_, body = get(http.DefaultClient, base+operator.PathDump+"?section=pools")
		Expect(body).To(MatchJSON(`{"pools": ["tabs"]}`))
	})
})

var _ = It("can be closed right after Start", func() {
	for range 20 {
		s, err := operator.New(operator.Options{Listen: loopback})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Start()).To(Succeed())
		Expect(s.Close()).To(Succeed())
	}
})

var _ = Describe("mutual TLS", func() {
	allInterfaces := netip.MustParseAddrPort("0.0.0.0:0")

	It("is required on addresses other than loopback", func() {
		var required *operator.TLSRequiredError
		_, err := operator.New(operator.Options{Listen: allInterfaces})
		Expect(errors.As(err, &required)).To(BeTrue())
		_, err = operator.New(operator.Options{Listen: allInterfaces, TLS: &tls.Config{}})
		Expect(errors.As(err, &required)).To(BeTrue())
	})

	It("accepts only clients with an operator certificate", func() {
		dir := GinkgoT().TempDir()
		Expect(certs.Create(dir, "portlouis", "entry/e-1", "operator/ops")).To(Succeed())
		config := func(role certs.Role, id string) *tls.Config {
			c, err := certs.LoadTLS(filepath.Join(dir, certs.CAFile), filepath.Join(dir, certs.CertFile(role, id)),
				filepath.Join(dir, certs.KeyFile(role, id)), certs.RoleOperator, certs.RoleEntry)
			Expect(err).NotTo(HaveOccurred())
			return c
		}
		server, err := certs.LoadTLS(filepath.Join(dir, certs.CAFile), filepath.Join(dir, certs.CertFile(certs.RoleEntry, "e-1")),
			filepath.Join(dir, certs.KeyFile(certs.RoleEntry, "e-1")), certs.RoleOperator)
		Expect(err).NotTo(HaveOccurred())
		s := startServer(operator.Options{Listen: allInterfaces, TLS: server})
		address := netip.AddrPortFrom(loopback.Addr(), s.Addr().Port()).String()

		operatorClient := &http.Client{Transport: &http.Transport{TLSClientConfig: config(certs.RoleOperator, "ops")}}
		defer operatorClient.CloseIdleConnections()
		code, _ := get(operatorClient, "https://"+address+operator.PathLive)
		Expect(code).To(Equal(http.StatusOK))

		entryClient := &http.Client{Transport: &http.Transport{TLSClientConfig: config(certs.RoleEntry, "e-1")}}
		_, err = entryClient.Get("https://" + address + operator.PathLive)
		Expect(err).To(HaveOccurred())
		code, _ = get(http.DefaultClient, "http://"+address+operator.PathLive)
		Expect(code).To(Equal(http.StatusBadRequest))
	})
})

var _ = Describe("errors in logs", func() {
	It("have the type of the module's own error inside wrappers", func() {
		err := errors.Wrap(&operator.ListenError{Listen: "x", Cause: io.EOF}, "start")
		Expect(operator.ErrorType(err)).To(Equal("operator.ListenError"))
		Expect(operator.ErrorType(errors.Wrap(io.EOF, "read"))).To(Equal("errors.errorString"))
		logs := &lockedBuffer{}
		operator.NewLogger(logs, slog.LevelInfo, operator.Process{}).Error("failed", operator.Err(err))
		Expect(logs.String()).To(ContainSubstring(`"error_type":"operator.ListenError"`))
	})
})
