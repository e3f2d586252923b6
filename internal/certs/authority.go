package certs

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
)

// Authority is a CA held in memory, for processes without a disk that store it
// on the platform.
type Authority struct{ ca *signingCA }

// NewAuthority generates a CA for a deployment and returns it with its
// certificate and private key in PEM form.
func NewAuthority(deployment string) (a *Authority, certPEM, keyPEM []byte, err error) {
	if !namePattern.MatchString(deployment) {
		return nil, nil, nil, &MalformedIDError{Deployment: deployment}
	}
	ca, der, err := generateCA(deployment)
	if err != nil {
		return nil, nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(ca.key)
	if err != nil {
		return nil, nil, nil, &GenerateError{Cause: err}
	}
	return &Authority{ca}, encodePEM(pemCertificate, der), encodePEM(pemPrivateKey, keyDER), nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// ParseAuthority parses the PEM certificate and key returned by NewAuthority.
func ParseAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, &NotPEMError{Want: pemCertificate}
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, &GenerateError{Cause: err}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, &GenerateError{Cause: err}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, &NotPEMError{Want: "ECDSA " + pemPrivateKey}
	}
	return &Authority{&signingCA{cert: cert, key: key}}, nil
}

// Issue issues a certificate for a process and returns its credentials.
func (a *Authority) Issue(deployment string, role Role, id string) (*Credentials, error) {
	l, err := parseLeafRequest(deployment, string(role)+"/"+id)
	if err != nil {
		return nil, err
	}
	der, key, err := a.ca.generateLeaf(l)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &GenerateError{Cause: err}
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.ca.cert)
	c := &Credentials{}
	c.current.Store(&keyMaterial{roots: roots, identity: l.identity,
		pair: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: cert}})
	return c, nil
}
