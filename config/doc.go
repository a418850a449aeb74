// Package config keeps the configuration of every team: its schema, its
// revisions in the platform's table, and their propagation to every daemon.
//
// An accepted change is one transaction that moves the head row from one
// revision to the next. Entries and cell leaders poll the head through a
// Watcher; agents receive updates in the answers to their heartbeats. Each
// daemon keeps the highest revision that it has seen in a Holder, which never
// steps back.
package config
