// Package settings holds the types of the settings files and of the table file.
// They are generated from schema/settings.json by schema/generate.sh.
package settings
