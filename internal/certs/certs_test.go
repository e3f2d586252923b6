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

func loadCredentials(dir string, role certs.Role, id string) *certs.Credentials {
	c, err := certs.Load(filepath.Join(dir, certs.CAFile),
		filepath.Join(dir, certs.CertFile(role, id)), filepath.Join(dir, certs.KeyFile(role, id)))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

// handshakeResult holds the error of each side of a handshake, and the client's
// connection state.
type handshakeResult struct {
	server, client error
	state          tls.ConnectionState
}

func handshake(server, client *tls.Config) handshakeResult {
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
		// Reads the server's session ticket or alert: the pipe has no buffer, so
		// the server would block.
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
	}
	return handshakeResult{server: <-done, client: clientErr, state: conn.ConnectionState()}
}

var _ = Describe("certificates", func() {
	var dir string
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		Expect(certs.Create(dir, "portlouis", "entry/e-1@10.0.0.5", "control/c-1", "operator/ops")).To(Succeed())
	})

	It("authenticates both sides of a connection", func() {
		result := handshake(
			loadCredentials(dir, certs.RoleEntry, "e-1").Config(certs.RoleControl),
			loadCredentials(dir, certs.RoleControl, "c-1").Config(certs.RoleEntry))
		Expect(result.server).NotTo(HaveOccurred())
		Expect(result.client).NotTo(HaveOccurred())
		peer, err := certs.PeerIdentity(result.state)
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.String()).To(Equal("cyclamen://portlouis/entry/e-1"))
	})

	It("rejects a peer whose role is not accepted", func() {
		result := handshake(
			loadCredentials(dir, certs.RoleEntry, "e-1").Config(certs.RoleEntry, certs.RoleControl),
			loadCredentials(dir, certs.RoleOperator, "ops").Config())
		var refused *certs.RefusedPeerError
		Expect(errors.As(result.server, &refused)).To(BeTrue(), "%v", result.server)
		Expect(refused.Peer.ID).To(Equal("ops"))
	})

	It("rejects a peer of another CA on both sides", func() {
		other := GinkgoT().TempDir()
		Expect(certs.Create(other, "portlouis", "entry/e-1")).To(Succeed())
		own, foreign := loadCredentials(dir, certs.RoleEntry, "e-1").Config(), loadCredentials(other, certs.RoleEntry, "e-1").Config()
		var untrusted *certs.UntrustedPeerError
		result := handshake(foreign, own)
		Expect(errors.As(result.client, &untrusted)).To(BeTrue(), "%v", result.client)

		// Without its own check, the client completes its part of the handshake
		// and the server's check is exercised.
		foreign.VerifyConnection = nil
		result = handshake(own, foreign)
		Expect(errors.As(result.server, &untrusted)).To(BeTrue(), "%v", result.server)
	})

	It("rejects a peer of another deployment whose CA is in the CA file", func() {
		other := GinkgoT().TempDir()
		Expect(certs.Create(other, "kelaniya", "entry/e-1")).To(Succeed())
		bundle := filepath.Join(dir, certs.CAFile)
		ours, err := os.ReadFile(bundle)
		Expect(err).NotTo(HaveOccurred())
		theirs, err := os.ReadFile(filepath.Join(other, certs.CAFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(bundle, append(ours, theirs...), 0o600)).To(Succeed())
		result := handshake(loadCredentials(other, certs.RoleEntry, "e-1").Config(), loadCredentials(dir, certs.RoleEntry, "e-1").Config())
		var refused *certs.RefusedPeerError
		Expect(errors.As(result.client, &refused)).To(BeTrue(), "%v", result.client)
	})

	It("rejects a client without a certificate", func() {
		client := loadCredentials(dir, certs.RoleControl, "c-1").Config()
		client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &tls.Certificate{}, nil
		}
		Expect(handshake(loadCredentials(dir, certs.RoleEntry, "e-1").Config(), client).server).To(HaveOccurred())
	})

	It("uses a renewed certificate without a restart", func() {
		c := loadCredentials(dir, certs.RoleEntry, "e-1")
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

	It("keeps the previous key pair while the new one is partly written", func() {
		c := loadCredentials(dir, certs.RoleEntry, "e-1")
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

	It("makes private keys readable to their owner only", func() {
		for _, name := range []string{certs.CAKeyFile, certs.KeyFile(certs.RoleEntry, "e-1")} {
			info, err := os.Stat(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		}
	})

	It("returns a typed error for a malformed id, a directory with a foreign CA and a missing file", func() {
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
