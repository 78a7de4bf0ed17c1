// Package ident generates the identifiers of processes, attempts and operations.
package ident

import "github.com/google/uuid"

// New returns a time-ordered unique identifier (UUIDv7).
func New() string { return uuid.Must(uuid.NewV7()).String() }
