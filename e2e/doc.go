// Package e2e holds the end-to-end tests. They send HTTP requests as callers and
// operators do, and run the instances and the emulators of the platform and of the
// targets as separate processes. Targets are the back-end servers that hold the shards.
package e2e
