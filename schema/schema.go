// Package schema embeds the JSON Schemas from which the wire types and the
// settings are generated, so that files are checked against the same text.
package schema

import _ "embed" // The schemas are part of the programs.

// Settings is the schema of the settings files and of the table file.
//
//go:embed settings.json
var Settings string
