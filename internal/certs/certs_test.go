package certs_test

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/certs"
)

func TestCerts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "certs")
}

func load(dir string, role certs.Role, id string) *certs.Credentials {
	c, err := certs.Load(filepath.Join(dir, certs.CAFile),
		filepath.Join(dir, certs.CertFile(role, id)), filepath.Join(dir, certs.KeyFile(role, id)))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

// outcome is the error that each side of a handshake met, and the client's
// state.
type outcome struct {
	server, client error
	state          tls.ConnectionState
}

func handshake(server, client *tls.Config) outcome {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	deadline := time.Now().Add(10 * time.Second)
	Expect(a.SetDeadline(deadline)).To(Succeed())
	Expect(b.SetDeadline(deadline)).To(Succeed())
	done := make(chan error, 1)
	go func() {
		err := tls.Server(a, server).Handshake()
		if err != nil {
			a.Close()
		}
		done <- err
	}()
	conn := tls.Client(b, client)
	clientErr := conn.Handshake()
	if clientErr != nil {
		b.Close()
	} else {
		// Takes the server's ticket or alert off the pipe, which has no buffer.
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
	}
	return outcome{server: <-done, client: clientErr, state: conn.ConnectionState()}
}

var _ = Describe("certificates", func() {
	var dir string
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		Expect(certs.Create(dir, "portlouis", "entry/e-1@10.0.0.5", "control/c-1", "operator/ops")).To(Succeed())
	})

	It("lets both sides know each other", func() {
		result := handshake(
			load(dir, certs.RoleEntry, "e-1").Config(certs.RoleControl),
			load(dir, certs.RoleControl, "c-1").Config(certs.RoleEntry))
		Expect(result.server).NotTo(HaveOccurred())
		Expect(result.client).NotTo(HaveOccurred())
		peer, err := certs.PeerIdentity(result.state)
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.String()).To(Equal("cyclamen://portlouis/entry/e-1"))
	})

	It("refuses a role that may not connect", func() {
		result := handshake(
			load(dir, certs.RoleEntry, "e-1").Config(certs.RoleEntry, certs.RoleControl),
			load(dir, certs.RoleOperator, "ops").Config())
		var refused *certs.RefusedPeerError
		Expect(errors.As(result.server, &refused)).To(BeTrue(), "%v", result.server)
		Expect(refused.Peer.ID).To(Equal("ops"))
	})

	It("refuses a peer of another CA on both sides", func() {
		other := GinkgoT().TempDir()
		Expect(certs.Create(other, "portlouis", "entry/e-1")).To(Succeed())
		own, foreign := load(dir, certs.RoleEntry, "e-1").Config(), load(other, certs.RoleEntry, "e-1").Config()
		var untrusted *certs.UntrustedPeerError
		result := handshake(foreign, own)
		Expect(errors.As(result.client, &untrusted)).To(BeTrue(), "%v", result.client)

		// A client that trusts anybody reaches the server's own check.
		foreign.VerifyConnection = nil
		result = handshake(own, foreign)
		Expect(errors.As(result.server, &untrusted)).To(BeTrue(), "%v", result.server)
	})

	It("refuses a peer of another deployment under the same CA file", func() {
		other := GinkgoT().TempDir()
		Expect(certs.Create(other, "kelaniya", "entry/e-1")).To(Succeed())
		bundle := filepath.Join(dir, certs.CAFile)
		ours, err := os.ReadFile(bundle)
		Expect(err).NotTo(HaveOccurred())
		theirs, err := os.ReadFile(filepath.Join(other, certs.CAFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(bundle, append(ours, theirs...), 0o600)).To(Succeed())
		result := handshake(load(other, certs.RoleEntry, "e-1").Config(), load(dir, certs.RoleEntry, "e-1").Config())
		var refused *certs.RefusedPeerError
		Expect(errors.As(result.client, &refused)).To(BeTrue(), "%v", result.client)
	})

	It("refuses a client without a certificate", func() {
		client := load(dir, certs.RoleControl, "c-1").Config()
		client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &tls.Certificate{}, nil
		}
		Expect(handshake(load(dir, certs.RoleEntry, "e-1").Config(), client).server).To(HaveOccurred())
	})

	It("takes a renewed certificate into use without a restart", func() {
		c := load(dir, certs.RoleEntry, "e-1")
		pair, err := c.Config().GetCertificate(nil)
		Expect(err).NotTo(HaveOccurred())
		before := pair.Leaf.SerialNumber
		Expect(certs.Create(dir, "portlouis", "entry/e-1")).To(Succeed())
		pair, err = c.Config().GetCertificate(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(pair.Leaf.SerialNumber).NotTo(Equal(before))
		Expect(c.ReloadError()).NotTo(HaveOccurred())
		Expect(c.NotAfter()).To(BeTemporally(">", time.Now().Add(24*time.Hour)))
	})

	It("keeps the previous pair while the new one is half written", func() {
		c := load(dir, certs.RoleEntry, "e-1")
		key := filepath.Join(dir, certs.KeyFile(certs.RoleEntry, "e-1"))
		good, err := os.ReadFile(key)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(key, good[:20], 0o600)).To(Succeed())
		pair, err := c.Config().GetCertificate(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(pair.Leaf).NotTo(BeNil())
		Expect(c.ReloadError()).To(HaveOccurred())
		Expect(os.WriteFile(key, good, 0o600)).To(Succeed())
		Expect(c.ReloadError()).NotTo(HaveOccurred())
	})

	It("keeps private keys from other users", func() {
		for _, name := range []string{certs.CAKeyFile, certs.KeyFile(certs.RoleEntry, "e-1")} {
			info, err := os.Stat(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		}
	})

	It("names what is wrong with an id, a directory or a file", func() {
		var malformed *certs.MalformedIDError
		for _, id := range []string{"entry", "boss/x", "entry/../x", "entry/x@host"} {
			Expect(errors.As(certs.Create(dir, "portlouis", id), &malformed)).To(BeTrue(), id)
		}
		var foreign *certs.ForeignCAError
		Expect(errors.As(certs.Create(dir, "kelaniya", "entry/e-1"), &foreign)).To(BeTrue())
		var file *certs.FileError
		_, err := certs.LoadTLS("/nonexistent", "/nonexistent", "/nonexistent")
		Expect(errors.As(err, &file)).To(BeTrue())
	})
})
