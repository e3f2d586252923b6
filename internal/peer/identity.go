package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"

	"cyclamenwheel/internal/certs"
)

// Identity identifies a running process.
type Identity struct {
	// ID and Role are authenticated by the certificate.
	ID   string `cbor:"1,keyasint" json:"id"`
	Role string `cbor:"2,keyasint" json:"role"`
	// BootID changes with every restart of the process.
	BootID string `cbor:"3,keyasint" json:"boot_id"`
	Zone   string `cbor:"4,keyasint" json:"zone"`
}

// CertificateURI returns the URI that a process's certificate carries as its
// subject alternative name.
func CertificateURI(deployment, role, id string) *url.URL {
	return certs.Identity{Deployment: deployment, Role: certs.Role(role), ID: id}.URI()
}

// certifiedIdentity returns the ID and role in a certificate of the deployment.
func certifiedIdentity(deployment string, cert *x509.Certificate) (Identity, error) {
	id, err := certs.IdentityOf(cert)
	if err != nil {
		return Identity{}, &CertificateError{Detail: "not of this deployment, or without a process identity", Cause: err}
	}
	if id.Deployment != deployment {
		return Identity{}, &CertificateError{Detail: "not of this deployment: " + truncateDetail(id.String())}
	}
	return Identity{ID: id.ID, Role: string(id.Role)}, nil
}

// serverTLS returns the configuration for accepting peers. Session tickets are
// disabled so that every connection presents its certificate.
func serverTLS(base *tls.Config, deployment string) *tls.Config {
	c := commonTLS(base)
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = clientRoots(base)
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyPeer(base, deployment, state)
	}
	return c
}

// verifyPeer checks the name in a certificate and runs the base configuration's
// own check, such as a check of the allowed roles.
func verifyPeer(base *tls.Config, deployment string, state tls.ConnectionState) error {
	if _, err := peerIdentity(deployment, state); err != nil {
		return err
	}
	if base.VerifyConnection == nil {
		return nil
	}
	return base.VerifyConnection(state)
}

// clientTLS returns the configuration for dialling peers. Peers are identified
// by ID and not by host name, so the standard verification is disabled, and the
// certificate chain is verified here.
func clientTLS(base *tls.Config, deployment string) *tls.Config {
	c := commonTLS(base)
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyChain(base.RootCAs, state.PeerCertificates); err != nil {
			return err
		}
		return verifyPeer(base, deployment, state)
	}
	return c
}

func commonTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.NextProtos = []string{alpn}
	c.MinVersion = tls.VersionTLS13
	c.SessionTicketsDisabled = true
	c.ClientSessionCache = nil
	// A configuration per client would bypass the checks set here.
	c.GetConfigForClient = nil
	c.VerifyPeerCertificate = nil
	return c
}

func clientRoots(base *tls.Config) *x509.CertPool {
	if base.ClientCAs != nil {
		return base.ClientCAs
	}
	return base.RootCAs
}

func verifyChain(roots *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return &CertificateError{Detail: "none presented"}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &CertificateError{Detail: "not trusted", Cause: err}
	}
	return nil
}

func peerIdentity(deployment string, state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, &CertificateError{Detail: "none presented"}
	}
	return certifiedIdentity(deployment, state.PeerCertificates[0])
}
