// Package wire holds the records of the log and the messages between the
// system's processes. All but this file is generated from schema/wire.json.
package wire
