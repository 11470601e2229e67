// Package settings holds the settings files and the table file. All but this
// file is generated from schema/settings.json.
package settings
