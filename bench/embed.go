// Package bench embeds the descriptions of the deployments that experiments run:
// region and halls, numbers of instances and endpoints, the stand-ins' timing,
// prices, the rows of the initial table, and the traffic. All policies are
// measured with the same descriptions.
package bench

import "embed"

// Files holds one TOML file per deployment, named after it.
//
//go:embed *.toml
var Files embed.FS
