package certs

import "fmt"

// FileError reports that a file could not be read, written or parsed.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("certificates: %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NotPEMError reports that the input holds no PEM block of the wanted type.
type NotPEMError struct{ Want string }

func (e *NotPEMError) Error() string { return "no PEM block of type " + e.Want }

// MalformedIDError reports that a requested identity is not role/id[@ip,...]
// with a valid role, or that the deployment's name is malformed.
type MalformedIDError struct{ Deployment, ID string }

func (e *MalformedIDError) Error() string {
	return fmt.Sprintf("certificates: %q in deployment %q: want entry/ID, control/ID or operator/ID, and @IP,IP where needed",
		e.ID, e.Deployment)
}

// NoIdentityError reports that a certificate does not carry exactly one
// identity, or that the identity is invalid.
type NoIdentityError struct{ Subject string }

func (e *NoIdentityError) Error() string {
	return fmt.Sprintf("certificates: no identity in the certificate of %q", e.Subject)
}

// ForeignCAError reports that a directory holds the CA of another deployment.
type ForeignCAError struct{ Dir, Have, Want string }

func (e *ForeignCAError) Error() string {
	return fmt.Sprintf("certificates: %s holds the CA of deployment %q, not of %q", e.Dir, e.Have, e.Want)
}

// GenerateError reports that a key or certificate could not be generated or
// decoded.
type GenerateError struct{ Cause error }

func (e *GenerateError) Error() string { return fmt.Sprintf("certificates: generate: %v", e.Cause) }

// Unwrap returns the cause.
func (e *GenerateError) Unwrap() error { return e.Cause }

// UntrustedPeerError reports that a peer's certificate does not verify against
// the trusted CAs, or has expired.
type UntrustedPeerError struct{ Cause error }

func (e *UntrustedPeerError) Error() string {
	return fmt.Sprintf("certificates: peer not trusted: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UntrustedPeerError) Unwrap() error { return e.Cause }

// RefusedPeerError reports that an authenticated peer has a deployment or role
// that is not accepted.
type RefusedPeerError struct {
	Peer Identity
	// Deployment and Roles are the accepted values.
	Deployment string
	Roles      []Role
}

func (e *RefusedPeerError) Error() string {
	return fmt.Sprintf("certificates: peer %s refused: want deployment %q and role of %v", e.Peer, e.Deployment, e.Roles)
}
