// Package peerpb holds the generated messages and twirp services between the system's own processes.
// Run "make generate" after a change of peer.proto; the generated files are committed.
package peerpb
