// Package certs issues and loads the TLS certificates that authenticate
// processes and operators to each other. A peer's identity (deployment, role
// and id) is a URI in its certificate and doesn't depend on its address, because
// addresses change whenever an instance is replaced. The daemons, the nodes and
// cyclamenctl call it to create certificates and to configure TLS connections.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

// Role is the role that a certificate grants to its holder.
type Role string

const (
	RoleEntry    Role = "entry"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// uriScheme distinguishes the identity from other URIs of a certificate.
const uriScheme = "cyclamen"

// namePattern restricts names to those valid in URIs, file names and metrics
// labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Identity identifies the holder of a certificate.
type Identity struct {
	Deployment string `json:"deployment"`
	Role       Role   `json:"role"`
	ID         string `json:"id"`
}

// String returns the identity's URI.
func (i Identity) String() string { return i.URI().String() }

// URI returns the URI that the certificate carries as subject alternative name.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Deployment, Path: "/" + string(i.Role) + "/" + i.ID}
}

// valid reports whether all parts are well formed and the role exists.
func (i Identity) valid() bool {
	roleExists := i.Role == RoleEntry || i.Role == RoleControl || i.Role == RoleOperator
	return roleExists && namePattern.MatchString(i.Deployment) && namePattern.MatchString(i.ID)
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

// PeerIdentity returns the identity of the peer of a connection whose handshake
// used a Config of this package.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, &NoIdentityError{}
	}
	return IdentityOf(state.PeerCertificates[0])
}

// leafRequest describes one certificate to issue.
type leafRequest struct {
	identity Identity
	ips      []netip.Addr
}

// parseLeafRequest parses role/id or role/id@ip,ip.
func parseLeafRequest(deployment, text string) (leafRequest, error) {
	name, addresses, hasAddresses := strings.Cut(text, "@")
	role, id, _ := strings.Cut(name, "/")
	l := leafRequest{
		identity: Identity{Deployment: deployment, Role: Role(role), ID: id},
		ips:      []netip.Addr{netip.AddrFrom4([4]byte{127, 0, 0, 1})},
	}
	if !l.identity.valid() {
		return leafRequest{}, &MalformedIDError{Deployment: deployment, ID: text}
	}
	if !hasAddresses {
		return l, nil
	}
	for address := range strings.SplitSeq(addresses, ",") {
		ip, err := netip.ParseAddr(address)
		if err != nil {
			return leafRequest{}, &MalformedIDError{Deployment: deployment, ID: text}
		}
		l.ips = append(l.ips, ip)
	}
	return l, nil
}
