// Package workspace finds the workspace that a caller's key belongs to. It serves every
// request of deployments that have up to 100,000 keys.
package workspace

import (
	"crypto/sha256"

	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// Directory holds the workspaces of one configuration and the digests of their keys.
// It is immutable. The keys themselves are not kept, so that no dump of it shows them.
type Directory struct {
	byKey     map[digest]*routing.Workspace
	byID      map[topology.WorkspaceID]*routing.Workspace
	ambiguous int
}

// NewDirectory returns the Directory of the workspaces. If several of them have the same
// key or the same name, the first one counts, at all instances alike. An empty key
// belongs to no workspace.
func NewDirectory(workspaces []routing.Workspace) *Directory {
	keys := 0
	for i := range workspaces {
		keys += len(workspaces[i].Keys)
	}
	d := &Directory{
		byKey: make(map[digest]*routing.Workspace, keys),
		byID:  make(map[topology.WorkspaceID]*routing.Workspace, len(workspaces)),
	}
	for i := range workspaces {
		d.add(workspaces[i])
	}
	return d
}

// add adds w, whose keys are then dropped.
func (d *Directory) add(w routing.Workspace) {
	keys := w.Keys
	w.Keys = nil
	if d.byID[w.ID] != nil {
		d.ambiguous++
		return
	}
	d.byID[w.ID] = &w
	for _, key := range keys {
		sum := digest(sha256.Sum256([]byte(key)))
		switch owner := d.byKey[sum]; {
		case key == "" || owner != nil && owner != &w:
			d.ambiguous++
		default:
			d.byKey[sum] = &w
		}
	}
}

// Empty reports whether there is no workspace, so that callers need no keys.
func (d *Directory) Empty() bool { return len(d.byID) == 0 }

// Ambiguous returns the number of names and keys that were ignored: those of an earlier
// workspace, and empty keys.
func (d *Directory) Ambiguous() int { return d.ambiguous }

// Find returns the workspace that the key belongs to, without its keys, or nil. Its time
// tells nothing about keys that are similar, since digests are compared.
func (d *Directory) Find(key routing.Key) *routing.Workspace {
	return d.byKey[sha256.Sum256([]byte(key))]
}

// Workspace returns the workspace with the id, without its keys, or nil.
func (d *Directory) Workspace(id topology.WorkspaceID) *routing.Workspace { return d.byID[id] }
