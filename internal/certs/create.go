package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// Lifetimes of the certificates that Create issues. They suit trial deployments;
// production deployments supply their own certificates with the same URIs.
const (
	caLifetime   = 365 * 24 * time.Hour
	leafLifetime = 90 * 24 * time.Hour
	// clockSkew is how far NotBefore is backdated, so that a peer whose clock is
	// behind accepts a new certificate.
	clockSkew = 5 * time.Minute
)

// Names of the CA's files in the directory passed to Create.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem"
)

const (
	certMode = 0o644
	keyMode  = 0o600
	dirMode  = 0o755

	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"

	serialBits = 127
)

// CertFile returns the file name of an issued certificate.
func CertFile(role Role, id string) string { return string(role) + "-" + id + ".pem" }

// KeyFile returns the file name of the private key that belongs to CertFile.
func KeyFile(role Role, id string) string { return string(role) + "-" + id + "-key.pem" }

type signingCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Create issues a certificate for each of ids, in the form role/id or
// role/id@ip,ip, and writes the files to dir. It reuses a CA that exists in
// dir, so a repeated call renews the issued certificates.
func Create(dir, deployment string, ids ...string) error {
	if !namePattern.MatchString(deployment) {
		return &MalformedIDError{Deployment: deployment}
	}
	leaves := make([]leafRequest, 0, len(ids))
	for _, id := range ids {
		l, err := parseLeafRequest(deployment, id)
		if err != nil {
			return err
		}
		leaves = append(leaves, l)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &FileError{Path: dir, Cause: err}
	}
	ca, err := loadOrCreateCA(dir, deployment)
	if err != nil {
		return err
	}
	for _, l := range leaves {
		if err := ca.issue(dir, l); err != nil {
			return err
		}
	}
	return nil
}

func loadOrCreateCA(dir, deployment string) (*signingCA, error) {
	path := filepath.Join(dir, CAFile)
	if _, err := os.Stat(path); os.IsNotExist(err) {
		return createCAFiles(dir, deployment)
	}
	cert, err := readCertificate(path)
	if err != nil {
		return nil, err
	}
	if have := cert.Subject.Organization; len(have) != 1 || have[0] != deployment {
		return nil, &ForeignCAError{Dir: dir, Have: cert.Subject.CommonName, Want: deployment}
	}
	key, err := readKey(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, err
	}
	return &signingCA{cert: cert, key: key}, nil
}

func createCAFiles(dir, deployment string) (*signingCA, error) {
	ca, der, err := generateCA(deployment)
	if err != nil {
		return nil, err
	}
	return ca, writePair(filepath.Join(dir, CAFile), filepath.Join(dir, CAKeyFile), der, ca.key)
}

func generateCA(deployment string) (*signingCA, []byte, error) {
	now := time.Now()
	template := &x509.Certificate{
		Subject:               pkix.Name{Organization: []string{deployment}, CommonName: deployment + " CA"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(caLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, &GenerateError{Cause: err}
	}
	ca := &signingCA{cert: template, key: key}
	der, err := ca.sign(template, key)
	if err != nil {
		return nil, nil, err
	}
	if ca.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, nil, &GenerateError{Cause: err}
	}
	return ca, der, nil
}

func (ca *signingCA) issue(dir string, l leafRequest) error {
	der, key, err := ca.generateLeaf(l)
	if err != nil {
		return err
	}
	id := l.identity
	return writePair(filepath.Join(dir, CertFile(id.Role, id.ID)), filepath.Join(dir, KeyFile(id.Role, id.ID)), der, key)
}

func (ca *signingCA) generateLeaf(l leafRequest) ([]byte, *ecdsa.PrivateKey, error) {
	now := time.Now()
	id := l.identity
	template := &x509.Certificate{
		Subject: pkix.Name{
			Organization: []string{id.Deployment},
			CommonName:   string(id.Role) + "/" + id.ID,
		},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(leafLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:        []*url.URL{id.URI()},
	}
	for _, ip := range l.ips {
		template.IPAddresses = append(template.IPAddresses, net.IP(ip.AsSlice()))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, &GenerateError{Cause: err}
	}
	der, err := ca.sign(template, key)
	return der, key, err
}

func (ca *signingCA) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &GenerateError{Cause: err}
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return nil, &GenerateError{Cause: err}
	}
	return der, nil
}

func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &GenerateError{Cause: err}
	}
	if err := writePEM(keyPath, pemPrivateKey, keyDER, keyMode); err != nil {
		return err
	}
	return writePEM(certPath, pemCertificate, der, certMode)
}

// writePEM replaces the file atomically: a process that reloads it concurrently
// reads either the old content or the new.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	temp, err := os.CreateTemp(filepath.Dir(path), ".tmp-*")
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	defer os.Remove(temp.Name())
	_, writeErr := temp.Write(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	chmodErr := temp.Chmod(mode)
	closeErr := temp.Close()
	for _, err := range []error{writeErr, chmodErr, closeErr} {
		if err != nil {
			return &FileError{Path: path, Cause: err}
		}
	}
	if err := os.Rename(temp.Name(), path); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

func readCertificate(path string) (*x509.Certificate, error) {
	der, err := readPEM(path, pemCertificate)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	return cert, nil
}

func readKey(path string) (*ecdsa.PrivateKey, error) {
	der, err := readPEM(path, pemPrivateKey)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, &FileError{Path: path, Cause: &NotPEMError{Want: "ECDSA " + pemPrivateKey}}
	}
	return key, nil
}

func readPEM(path, kind string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, &FileError{Path: path, Cause: &NotPEMError{Want: kind}}
	}
	return block.Bytes, nil
}
