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

// Credentials hold a process's certificate and the CA it trusts. Changed files
// are reloaded, so that a renewal needs no restart.
type Credentials struct {
	ca, cert, key string

	// reloadMu serializes reloads.
	reloadMu sync.Mutex
	current  atomic.Pointer[keyMaterial]
	lastErr  atomic.Pointer[error]
}

// keyMaterial is the content of one consistent read of the three files.
type keyMaterial struct {
	fileInfos [3]os.FileInfo
	pair      tls.Certificate
	roots     *x509.CertPool
	identity  Identity
}

// Load reads the PEM files of a CA, a certificate and its private key.
func Load(ca, cert, key string) (*Credentials, error) {
	c := &Credentials{ca: ca, cert: cert, key: key}
	m, err := c.loadFiles()
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

// Identity returns the identity in the certificate.
func (c *Credentials) Identity() Identity { return c.reloadIfChanged().identity }

// NotAfter returns when the certificate in use expires.
func (c *Credentials) NotAfter() time.Time { return c.reloadIfChanged().pair.Leaf.NotAfter }

// ReloadError returns why changed files could not be loaded, or nil if the
// current files are in use.
func (c *Credentials) ReloadError() error {
	c.reloadIfChanged()
	if err := c.lastErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Config returns a configuration for mutual TLS 1.3 that both clients and
// servers can use. It accepts only peers of the same deployment in one of the
// roles, or in any role if none is given.
//
// The standard hostname check is off, because a peer is identified by its URI
// and not by its current address. Instead, verify checks the peer on every
// connection, including resumed ones, on both sides.
func (c *Credentials) Config(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		// For users of the Config that verify chains themselves. They use a
		// renewed CA only after a restart; verify uses it immediately.
		RootCAs: c.reloadIfChanged().roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.reloadIfChanged().pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.reloadIfChanged().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state, roles)
		},
	}
}

func (c *Credentials) verify(state tls.ConnectionState, roles []Role) error {
	m := c.reloadIfChanged()
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

// reloadIfChanged returns the newest usable key material. It costs three stat
// calls for each handshake, far less than the handshake itself.
//
// A certificate and its key are two files and cannot be replaced atomically. If
// they are read between the two writes, they do not match; the previous pair
// then stays in use and the next handshake retries.
func (c *Credentials) reloadIfChanged() *keyMaterial {
	inUse := c.current.Load()
	if c.cert == "" {
		return inUse // issued in memory, without files
	}
	if fileInfos, err := c.statFiles(); err == nil && sameFiles(inUse.fileInfos, fileInfos) {
		return inUse
	}
	c.reloadMu.Lock()
	defer c.reloadMu.Unlock()
	m, err := c.loadFiles()
	if err != nil {
		c.lastErr.Store(&err)
		return c.current.Load()
	}
	c.lastErr.Store(nil)
	c.current.Store(m)
	return m
}

// loadFiles calls stat before it reads the files, so that the next call detects
// a change made in between.
func (c *Credentials) loadFiles() (*keyMaterial, error) {
	fileInfos, err := c.statFiles()
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
	return &keyMaterial{fileInfos: fileInfos, pair: pair, roots: roots, identity: identity}, nil
}

func (c *Credentials) statFiles() ([3]os.FileInfo, error) {
	var fileInfos [3]os.FileInfo
	for i, path := range []string{c.ca, c.cert, c.key} {
		info, err := os.Stat(path)
		if err != nil {
			return fileInfos, &FileError{Path: path, Cause: err}
		}
		fileInfos[i] = info
	}
	return fileInfos, nil
}

func sameFiles(a, b [3]os.FileInfo) bool {
	for i := range a {
		same := os.SameFile(a[i], b[i]) && a[i].ModTime().Equal(b[i].ModTime()) && a[i].Size() == b[i].Size()
		if !same {
			return false
		}
	}
	return true
}
