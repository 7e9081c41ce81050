package ticket

import "strings"

// Kind is the kind of configuration value that a change replaces.
type Kind string

// Kinds of scopes.
const (
	KindZone       Kind = "zone"
	KindCollection Kind = "collection"
	KindSnapshot   Kind = "snapshot"
	KindWorkspace  Kind = "tenant"
	KindTuning     Kind = "tuning"
)

// Scope identifies the value that a change replaces. It is written "kind/id", or
// "tuning".
type Scope struct {
	Kind Kind
	ID   string // empty for KindTuning only
}

// ParseScope parses the text form of a scope. It fails with *FaultError.
func ParseScope(s string) (Scope, error) {
	if s == string(KindTuning) {
		return Scope{Kind: KindTuning}, nil
	}
	kind, id, ok := strings.Cut(s, "/")
	switch Kind(kind) {
	case KindZone, KindCollection, KindSnapshot, KindWorkspace:
	default:
		return Scope{}, &FaultError{Path: "scope", Code: FaultUnknownField, Detail: "unknown scope " + s}
	}
	if !ok || id == "" || strings.Contains(id, "/") {
		return Scope{}, &FaultError{Path: "scope", Code: FaultSyntax, Detail: "want kind/id, got " + s}
	}
	return Scope{Kind: Kind(kind), ID: id}, nil
}

// IsZero reports whether s is the zero Scope.
func (s Scope) IsZero() bool { return s == Scope{} }

// String returns the text form.
func (s Scope) String() string {
	if s.ID == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + "/" + s.ID
}

// MarshalText implements encoding.TextMarshaler.
func (s Scope) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it fails with *FaultError.
func (s *Scope) UnmarshalText(text []byte) error {
	parsed, err := ParseScope(string(text))
	*s = parsed
	return err
}

func compareScopes(a, b Scope) int { return strings.Compare(a.String(), b.String()) }
