package certs

import "fmt"

// FileError says that a file could not be read, written or understood.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("certificates: %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NotPEMError says that a file holds no PEM block of the wanted type.
type NotPEMError struct{ Want string }

func (e *NotPEMError) Error() string { return "no PEM block of type " + e.Want }

// MalformedIDError says that an identity to issue is not role/id[@ip,...] with
// a known role, or that the deployment's name is malformed.
type MalformedIDError struct{ Deployment, ID string }

func (e *MalformedIDError) Error() string {
	return fmt.Sprintf("certificates: %q in deployment %q: want entry/ID, control/ID or operator/ID, and @IP,IP where needed",
		e.ID, e.Deployment)
}

// NoIdentityError says that a certificate carries no single valid identity.
type NoIdentityError struct{ Subject string }

func (e *NoIdentityError) Error() string {
	return fmt.Sprintf("certificates: no identity in the certificate of %q", e.Subject)
}

// ForeignCAError says that a directory holds the CA of another deployment.
type ForeignCAError struct{ Dir, Have, Want string }

func (e *ForeignCAError) Error() string {
	return fmt.Sprintf("certificates: %s holds the CA of deployment %q, not of %q", e.Dir, e.Have, e.Want)
}

// GenerateError says that a key or certificate could not be made.
type GenerateError struct{ Cause error }

func (e *GenerateError) Error() string { return fmt.Sprintf("certificates: generate: %v", e.Cause) }

// Unwrap returns the cause.
func (e *GenerateError) Unwrap() error { return e.Cause }

// UntrustedPeerError says that a peer's certificate does not verify against
// the deployment's CA, or has expired.
type UntrustedPeerError struct{ Cause error }

func (e *UntrustedPeerError) Error() string {
	return fmt.Sprintf("certificates: peer not trusted: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UntrustedPeerError) Unwrap() error { return e.Cause }

// RefusedPeerError says that a peer is known and may not connect here.
type RefusedPeerError struct {
	Peer Identity
	// Deployment and Roles are what is accepted.
	Deployment string
	Roles      []Role
}

func (e *RefusedPeerError) Error() string {
	return fmt.Sprintf("certificates: peer %s refused: want deployment %q and role of %v", e.Peer, e.Deployment, e.Roles)
}
