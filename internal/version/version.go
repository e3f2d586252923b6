// Package version holds the version of the build, which all binaries share.
// They report it on the command line and in their status.
package version

const Version = "0.1.0"
