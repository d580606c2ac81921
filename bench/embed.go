// Package bench holds the descriptions of the deployments that experiments run
// on: places, sizes, the stand-ins' timing, prices, the first table and the
// traffic. They are the same for all policies.
package bench

import "embed"

// Files has one TOML file per deployment.
//
//go:embed *.toml
var Files embed.FS
