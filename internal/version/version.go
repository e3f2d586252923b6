// Package version holds the version that all binaries of one build share.
package version

// Version of this build.
const Version = "0.1.0"
