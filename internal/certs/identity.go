// Package certs makes and loads the certificates by which processes and
// operators know each other. Who a peer is stands in the certificate's URI, so
// that it holds wherever the peer runs: addresses change with every
// replacement of an instance.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

// Role is what a certificate's holder may act as.
type Role string

// Roles.
const (
	RoleEntry    Role = "entry"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// uriScheme marks the identity among a certificate's URIs.
const uriScheme = "cyclamen"

// nameForm suits URIs, file names and metrics labels alike.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Identity is who a certificate was issued to.
type Identity struct {
	Deployment string `json:"deployment"`
	Role       Role   `json:"role"`
	ID         string `json:"id"`
}

// String returns the identity's URI.
func (i Identity) String() string { return i.URI().String() }

// URI returns what the certificate carries as its subject alternative name.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Deployment, Path: "/" + string(i.Role) + "/" + i.ID}
}

// valid tells whether every part is well formed and the role known.
func (i Identity) valid() bool {
	known := i.Role == RoleEntry || i.Role == RoleControl || i.Role == RoleOperator
	return known && nameForm.MatchString(i.Deployment) && nameForm.MatchString(i.ID)
}

// IdentityOf reads the identity from a certificate. It does not verify the
// certificate.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		role, id, _ := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		found = append(found, Identity{Deployment: u.Host, Role: Role(role), ID: id})
	}
	if len(found) != 1 || !found[0].valid() {
		return Identity{}, &NoIdentityError{Subject: cert.Subject.String()}
	}
	return found[0], nil
}

// PeerIdentity returns who is at the other end of a connection whose handshake
// used a Config of this package.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, &NoIdentityError{}
	}
	return IdentityOf(state.PeerCertificates[0])
}

// leaf is one certificate to issue.
type leaf struct {
	identity Identity
	ips      []netip.Addr
}

// parseLeaf reads role/id or role/id@ip,ip.
func parseLeaf(deployment, text string) (leaf, error) {
	name, addresses, hasAddresses := strings.Cut(text, "@")
	role, id, _ := strings.Cut(name, "/")
	l := leaf{
		identity: Identity{Deployment: deployment, Role: Role(role), ID: id},
		ips:      []netip.Addr{netip.AddrFrom4([4]byte{127, 0, 0, 1})},
	}
	if !l.identity.valid() {
		return leaf{}, &MalformedIDError{Deployment: deployment, ID: text}
	}
	if !hasAddresses {
		return l, nil
	}
	for address := range strings.SplitSeq(addresses, ",") {
		ip, err := netip.ParseAddr(address)
		if err != nil {
			return leaf{}, &MalformedIDError{Deployment: deployment, ID: text}
		}
		l.ips = append(l.ips, ip)
	}
	return l, nil
}
