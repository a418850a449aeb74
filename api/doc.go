// Package api holds the protocol definitions of daisywall. The Go code that is
// generated from them is committed in the sub-packages, so that a build needs
// no generator; .ci/generate renews it.
package api
