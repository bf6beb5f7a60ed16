package shardmap

import (
	"strings"
	"testing"
	"time"
)

// announceSplit returns the three shards with shard 2 about to be split.
func announceSplit(t *testing.T) *Map {
	t.Helper()
	return changedMap(t, threeShards(t), 1, func(s map[ID]*Shard) { s[2].State = Splitting })
}

// splitShardTwo splits shard 2 at k@2000.
func splitShardTwo(s map[ID]*Shard) {
	s[2].State = Retiring
	s[4] = &Shard{ID: 4, From: "g@2000", To: "k@2000", State: Serving, Replicas: replicasOn("a", "b"), Parents: []ID{2}}
	s[5] = &Shard{ID: 5, From: "k@2000", To: "p@2000", State: Serving, Replicas: replicasOn("a", "b"), Parents: []ID{2}}
}

// splitAndRemoveShardTwo splits shard 2 and removes it.
func splitAndRemoveShardTwo(s map[ID]*Shard) {
	splitShardTwo(s)
	delete(s, 2)
}

// moveBoundary moves the boundary between shards 1 and 2.
func moveBoundary(s map[ID]*Shard) {
	s[1].To = "h@2000"
	s[2].From = "h@2000"
}

// joinShardTwo has server c join shard 2.
func joinShardTwo(s map[ID]*Shard) {
	s[2].State = Migrating
	s[2].Replicas = append(s[2].Replicas, Replica{Server: "c", Joining: true})
}

// migrating returns the three shards with server c joining shard 2.
func migrating(t *testing.T) *Map {
	t.Helper()
	return changedMap(t, threeShards(t), 1, joinShardTwo)
}

func untouched(t *testing.T) *Map {
	t.Helper()
	return threeShards(t)
}

// succession is a change of a map over a number of epochs.
type succession struct {
	from   func(*testing.T) *Map
	epochs Epoch
	change func(map[ID]*Shard)
	want   string // part of the error; empty: the succession is legal
}

var splitSuccessions = map[string]succession{
	"a split that was announced": {
		from:   announceSplit,
		epochs: 1,
		change: splitShardTwo,
	},
	"a split without announcement": {
		from:   untouched,
		epochs: 1,
		change: splitShardTwo,
		want:   "from serving to retiring",
	},
	"a piece without a parent": {
		from:   announceSplit,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			splitShardTwo(s)
			s[5].Parents = nil
		},
		want: "without parents",
	},
	"a piece on a server that did not serve the parent": {
		from:   announceSplit,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			splitShardTwo(s)
			s[5].Replicas = replicasOn("c")
		},
		want: "did not serve its parent",
	},
	"a split that is called off": {
		from:   announceSplit,
		epochs: 1,
		change: func(s map[ID]*Shard) { s[2].State = Serving },
	},
	"a piece takes the id of another shard": {
		from:   announceSplit,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			splitShardTwo(s)
			s[4].ID = 3
			s[3] = s[4]
			delete(s, 4)
			s[5].To = ""
		},
		want: "requires a new id",
	},
	"the parent is removed at once": {
		from:   announceSplit,
		epochs: 1,
		change: splitAndRemoveShardTwo,
		want:   "only a block that is retiring may be removed",
	},
	"a split that was not seen": {
		from:   untouched,
		epochs: 5,
		change: splitAndRemoveShardTwo,
	},
}

var otherSuccessions = map[string]succession{
	"another weight": {
		from:   untouched,
		epochs: 1,
		change: func(s map[ID]*Shard) { s[1].Weight = 9 },
	},
	"other ranges": {
		from:   untouched,
		epochs: 1,
		change: moveBoundary,
		want:   "requires a new id",
	},
	"other ranges, after epochs that were not seen": {
		from:   untouched,
		epochs: 5,
		change: moveBoundary,
		want:   "requires a new id",
	},
	"a server joins": {
		from:   untouched,
		epochs: 1,
		change: joinShardTwo,
	},
	"a server serves without having joined": {
		from:   untouched,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			s[2].State = Migrating
			s[2].Replicas = replicasOn("a", "b", "c")
		},
		want: "without having joined",
	},
	"a joining server serves": {
		from:   migrating,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			s[2].Replicas = append(replicasOn("a", "b"), Replica{Server: "c", ServingSince: 3})
		},
	},
	"a joining server serves since an earlier epoch": {
		from:   migrating,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			s[2].Replicas = append(replicasOn("a", "b"), Replica{Server: "c", ServingSince: 2})
		},
		want: "since epoch 2, want epoch 3",
	},
	"all earlier servers leave": {
		from:   migrating,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			s[2].State = Serving
			s[2].Replicas = []Replica{{Server: "c", ServingSince: 3}}
		},
		want: "none of its serving holders served it before",
	},
	"one earlier server leaves": {
		from:   migrating,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			s[2].State = Serving
			s[2].Replicas = append(replicasOn("b"), Replica{Server: "c", ServingSince: 3})
		},
	},
	"a server leaves a shard that does not migrate": {
		from:   untouched,
		epochs: 1,
		change: func(s map[ID]*Shard) { s[2].Replicas = replicasOn("a") },
		want:   "a holder leaves",
	},
	"a serving server joins again": {
		from:   migrating,
		epochs: 1,
		change: func(s map[ID]*Shard) { s[2].Replicas[0].Joining = true },
		want:   "must not join again",
	},
	"a migrating shard is split": {
		from:   migrating,
		epochs: 1,
		change: func(s map[ID]*Shard) {
			s[2].State = Splitting
			s[2].Replicas = replicasOn("a", "b")
		},
		want: "from moving to splitting",
	},
}

// Legal successions are adopted. Others are rejected with a reason, and the current map is retained.
func TestMap_ValidateSuccession(t *testing.T) {
	for _, table := range []map[string]succession{splitSuccessions, otherSuccessions} {
		for name, c := range table {
			t.Run(name, func(t *testing.T) {
				old := c.from(t)
				next := changedMap(t, old, c.epochs, c.change)
				vs := newViews(t, ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1}, old)
				adopted, err := vs.Offer(origin, next)
				isLegal := c.want == ""
				if isLegal && (err != nil || !adopted) {
					t.Errorf("a legal succession was rejected: %v", err)
				}
				if !isLegal && (err == nil || !strings.Contains(err.Error(), c.want) || vs.Current() != old) {
					t.Errorf("got %v, want %q", err, c.want)
				}
			})
		}
	}
}

func TestMap_ValidateSuccession_IDsAreNotReused(t *testing.T) {
	m := announceSplit(t)
	m = changedMap(t, m, 1, splitShardTwo)
	m = changedMap(t, m, 1, func(s map[ID]*Shard) { delete(s, 2) })
	reused := changedMap(t, m, 1, func(s map[ID]*Shard) {
		s[2] = &Shard{
			ID:       2,
			From:     "g@2000",
			To:       "k@2000",
			State:    Serving,
			Replicas: replicasOn("a", "b"),
			Parents:  []ID{4},
		}
		s[4].State = Retiring
	})
	if err := reused.ValidateSuccession(m); err == nil || !strings.Contains(err.Error(), "assigned before") {
		t.Error(err)
	}
}
