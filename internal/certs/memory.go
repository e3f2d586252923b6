package certs

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
)

// Authority is a CA outside of files, for processes without a disk that keep
// it with the platform.
type Authority struct{ ca *authority }

// NewAuthority makes a CA for a deployment and returns it with its certificate
// and private key in PEM.
func NewAuthority(deployment string) (a *Authority, certPEM, keyPEM []byte, err error) {
	if !nameForm.MatchString(deployment) {
		return nil, nil, nil, &MalformedIDError{Deployment: deployment}
	}
	ca, der, err := makeAuthority(deployment)
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

// ParseAuthority reads what NewAuthority returned.
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
	return &Authority{&authority{cert: cert, key: key}}, nil
}

// Issue makes a certificate for a process and returns its credentials.
func (a *Authority) Issue(deployment string, role Role, id string) (*Credentials, error) {
	l, err := parseLeaf(deployment, string(role)+"/"+id)
	if err != nil {
		return nil, err
	}
	der, key, err := a.ca.makeLeaf(l)
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
	c.current.Store(&material{roots: roots, identity: l.identity,
		pair: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: cert}})
	return c, nil
}
