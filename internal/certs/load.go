package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Credentials are a process's own certificate and the CA it trusts. The files
// are read again when they change, so that a renewal needs no restart.
type Credentials struct {
	ca, cert, key string

	// reloading admits one reader of the files at a time.
	reloading sync.Mutex
	current   atomic.Pointer[material]
	lastErr   atomic.Pointer[error]
}

// material is one consistent reading of the three files.
type material struct {
	stamps   [3]os.FileInfo
	pair     tls.Certificate
	roots    *x509.CertPool
	identity Identity
}

// Load reads the PEM files of a CA, a certificate and its private key.
func Load(ca, cert, key string) (*Credentials, error) {
	c := &Credentials{ca: ca, cert: cert, key: key}
	m, err := c.read()
	if err != nil {
		return nil, err
	}
	c.current.Store(m)
	return c, nil
}

// LoadTLS loads the files and returns the Config for peers of the given roles.
func LoadTLS(ca, cert, key string, roles ...Role) (*tls.Config, error) {
	c, err := Load(ca, cert, key)
	if err != nil {
		return nil, err
	}
	return c.Config(roles...), nil
}

// Identity returns who the certificate was issued to.
func (c *Credentials) Identity() Identity { return c.fresh().identity }

// NotAfter returns when the certificate in use expires.
func (c *Credentials) NotAfter() time.Time { return c.fresh().pair.Leaf.NotAfter }

// ReloadError returns why changed files could not be taken into use; nil where
// the files in use are the newest.
func (c *Credentials) ReloadError() error {
	c.fresh()
	if err := c.lastErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Config serves both sides of a connection: mutual, TLS 1.3, and open only to
// peers of the same deployment in one of roles, or in any role if none is
// given.
//
// The library's own check of names is off, because a peer is known by its URI
// and not by the address it has today. verify takes its place on every
// connection, resumed ones included, on both sides.
func (c *Credentials) Config(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		// For users of the Config that verify chains themselves. They see a
		// renewed CA after a restart only; verify sees it at once.
		RootCAs: c.fresh().roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.fresh().pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.fresh().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, roles)
		},
	}
}

func (c *Credentials) verify(state tls.ConnectionState, roles []Role) error {
	m := c.fresh()
	peer, err := PeerIdentity(state)
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         m.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &UntrustedPeerError{Cause: err}
	}
	if peer.Deployment != m.identity.Deployment || (len(roles) > 0 && !slices.Contains(roles, peer.Role)) {
		return &RefusedPeerError{Peer: peer, Deployment: m.identity.Deployment, Roles: roles}
	}
	return nil
}

// fresh returns the newest usable material. It costs three calls of stat for a
// handshake, which is far below the cost of the handshake itself.
//
// A certificate and its key are two files and cannot be replaced in one step.
// Read between the two they do not match; the previous pair then stays in use
// and the next handshake tries again.
func (c *Credentials) fresh() *material {
	have := c.current.Load()
	if c.cert == "" {
		return have // never in files
	}
	if stamps, err := c.stat(); err == nil && unchanged(have.stamps, stamps) {
		return have
	}
	c.reloading.Lock()
	defer c.reloading.Unlock()
	m, err := c.read()
	if err != nil {
		c.lastErr.Store(&err)
		return c.current.Load()
	}
	c.lastErr.Store(nil)
	c.current.Store(m)
	return m
}

// read stamps the files before reading them: a change in between is then seen
// as one by the next call.
func (c *Credentials) read() (*material, error) {
	stamps, err := c.stat()
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, &FileError{Path: c.cert, Cause: err}
	}
	identity, err := IdentityOf(pair.Leaf)
	if err != nil {
		return nil, &FileError{Path: c.cert, Cause: err}
	}
	data, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, &FileError{Path: c.ca, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, &FileError{Path: c.ca, Cause: &NotPEMError{Want: pemCertificate}}
	}
	return &material{stamps: stamps, pair: pair, roots: roots, identity: identity}, nil
}

func (c *Credentials) stat() ([3]os.FileInfo, error) {
	var stamps [3]os.FileInfo
	for i, path := range []string{c.ca, c.cert, c.key} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, &FileError{Path: path, Cause: err}
		}
		stamps[i] = info
	}
	return stamps, nil
}

func unchanged(a, b [3]os.FileInfo) bool {
	for i := range a {
		same := os.SameFile(a[i], b[i]) && a[i].ModTime().Equal(b[i].ModTime()) && a[i].Size() == b[i].Size()
		if !same {
			return false
		}
	}
	return true
}
