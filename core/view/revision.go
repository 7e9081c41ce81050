package view

import "fmt"

// Era counts how often the store has been restored from an older copy. Revisions of
// different eras that have the same number are unrelated.
type Era int64

// Revision identifies a state of the store: the era and, within it, the store's own
// revision, which grows with each change. It is one number, ordered by era first, so that
// messages between instances carry it as they carried the store's revision alone, which
// is the Revision of era 0. 0 means no state.
type Revision int64

// eraShift is the number of bits for the store's revision. 48 bits last for 8,900 years at
// 1,000 changes a second, and leave 15 bits for eras.
const eraShift = 48

// NewRevision returns the Revision of the store's revision number in an era.
func NewRevision(era Era, number int64) Revision { return Revision(int64(era)<<eraShift | number) }

// Era returns the era.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns the store's own revision.
func (r Revision) Number() int64 { return int64(r) & (1<<eraShift - 1) }

// String returns the number, after the era and a slash if the era is not 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
