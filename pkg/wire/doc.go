// Package wire holds the types of the log's records and of the messages between
// the system's processes. They are generated from schema/wire.json by
// schema/generate.sh.
package wire
