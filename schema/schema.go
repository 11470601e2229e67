// Package schema embeds the JSON Schema of the settings, so that settings are
// checked against the same text from which their Go types are generated.
package schema

import _ "embed" // For the go:embed directive.

// Settings is the JSON Schema of the settings files and of the table file. The
// types of package settings are generated from it.
//
//go:embed settings.json
var Settings string
