// Package examples embeds the sample configurations of the two deployments that
// the development mode and the end-to-end tests use.
package examples

import _ "embed" // for go:embed

// Jabuka is the configuration of Jabuka Ugovori d.o.o.
//
//go:embed jabuka/config.json
var Jabuka []byte

// Graz is the configuration of Stadtwerke Tiersuche Graz.
//
//go:embed graz/config.json
var Graz []byte
