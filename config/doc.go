// Package config stores the configuration of every team, checks changes to it
// against a schema and distributes it to every daemon.
//
// The configuration is kept in the platform's table. A Store commits each
// accepted change as one transaction that moves the head row from one revision
// to the next. Entries and cell leaders poll the head row through a Watcher.
// Agents receive updates in the responses to their heartbeats. Each daemon
// keeps the highest revision that it has received in a Holder, which never
// returns to a lower one.
//
// Callers run Watcher.Run in a goroutine of their own. RemotePeers.FetchUpdates
// calls its peers concurrently and returns after the last of these goroutines
// has ended. Holder has a mutex and may be shared. A Watcher may not be used
// concurrently.
package config
