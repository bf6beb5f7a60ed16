package health

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// exclusionsFormat is the version of encoded exclusions.
const exclusionsFormat = 1

// ErrUnsupported is the error for exclusions that another version of the program has encoded.
var ErrUnsupported = errors.New("unsupported version of the checks' exclusions")

// Exclusion is why a check keeps a server out of service, in a way that does not expire: only the same check ends it.
// Exclusions are persisted, since a check may be silent when the process is restarted.
type Exclusion struct {
	Server     ID         `json:"server"`
	Check      string     `json:"check"`           // CheckConfig.Name
	Admin      AdminState `json:"admin,omitempty"` // Drain, Maintenance or AdminUnset
	ZeroWeight bool       `json:"zero_weight,omitempty"`
	Down       bool       `json:"down,omitempty"` // by a check whose results do not expire
	Reason     string     `json:"reason,omitempty"`
}

// excludes reports whether the exclusion is in effect.
func (e *Exclusion) excludes() bool { return e.Admin != AdminUnset || e.ZeroWeight || e.Down }

// sameStates reports whether two exclusions differ at most in their reasons, which may change with every result.
func (e *Exclusion) sameStates(other *Exclusion) bool {
	return e.Admin == other.Admin && e.ZeroWeight == other.ZeroWeight && e.Down == other.Down
}

// exclusion returns what a check of a server contributes to its exclusion.
func (t *Table) exclusion(server ID, check *checkState) Exclusion {
	config := &t.checks[check.config]
	exclusion := Exclusion{
		Server:     server,
		Check:      config.Name,
		ZeroWeight: check.weight == 0,
		Down:       check.oper == Down && config.Validity == 0,
		Reason:     check.reason,
	}
	if check.admin > Ready {
		exclusion.Admin = check.admin
	}
	return exclusion
}

// ExclusionsVersion returns a number that changes whenever the exclusions change in more than their reasons.
func (t *Table) ExclusionsVersion() uint64 { return t.exclusionsVersion }

// Exclusions returns the exclusions of all servers, ordered by server and check.
func (t *Table) Exclusions() (exclusions []Exclusion) {
	for _, server := range t.servers {
		if server == nil {
			continue
		}
		for i := range server.checks {
			if e := t.exclusion(server.ID, &server.checks[i]); e.excludes() {
				exclusions = append(exclusions, e)
			}
		}
	}
	slices.SortFunc(exclusions, func(a, b Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Check, b.Check))
	})
	return exclusions
}

// RestoreExclusions applies the exclusions of a previous process, before the first result of any check. Those of
// unlisted servers and unknown checks are dropped.
func (t *Table) RestoreExclusions(now time.Time, exclusions []Exclusion) {
	t.advance(now)
	for _, exclusion := range exclusions {
		index, listed := t.index[exclusion.Server]
		config := slices.IndexFunc(t.checks, func(c CheckConfig) bool { return c.Name == exclusion.Check })
		if !listed || config < 0 || !exclusion.excludes() {
			continue
		}
		check := t.servers[index].check(config)
		check.restore(&exclusion)
		if exclusion.Down && t.checks[config].Validity == 0 {
			check.oper = Down
			check.down = true
			check.resultAt = t.now
		}
		t.exclusionsVersion++
		t.markDirty(index)
	}
}

// restore applies the administrative states of an exclusion.
func (c *checkState) restore(exclusion *Exclusion) {
	c.reason = exclusion.Reason
	if exclusion.Admin == Drain || exclusion.Admin == Maintenance {
		c.admin = exclusion.Admin
	}
	if exclusion.ZeroWeight {
		c.weight = 0
	}
}

// exclusionsDocument is the JSON form of a list of exclusions.
type exclusionsDocument struct {
	Version    int         `json:"version"`
	Exclusions []Exclusion `json:"exclusions"`
}

// EncodeExclusions returns exclusions in the form that DecodeExclusions reads.
func EncodeExclusions(exclusions []Exclusion) ([]byte, error) {
	return json.Marshal(exclusionsDocument{Version: exclusionsFormat, Exclusions: exclusions})
}

// DecodeExclusions returns encoded exclusions. The error wraps ErrUnsupported if another version has encoded them.
func DecodeExclusions(text []byte) ([]Exclusion, error) {
	var document exclusionsDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("decode the checks' exclusions: %w", err)
	}
	if document.Version != exclusionsFormat {
		return nil, fmt.Errorf("%w: %d, want %d", ErrUnsupported, document.Version, exclusionsFormat)
	}
	return document.Exclusions, nil
}
