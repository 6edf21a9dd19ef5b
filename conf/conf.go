// Package conf embeds the deployments that the dev command runs and the annotated sample settings.
package conf

import "embed"

// Files contains the TOML files of this directory.
//
//go:embed *.toml
var Files embed.FS
