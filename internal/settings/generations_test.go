package settings

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"rooktrestle/balance"
)

var startTime = time.Unix(1000, 0)

// class returns a class that differs from others by its objective.
func class(objective int) balance.Class {
	return balance.Class{Objective: time.Duration(objective) * time.Second, Deadline: time.Hour, CompleteFraction: 1}
}

// deployment returns a deployment with the given classes: "a1" is class a with an objective of 1 s.
func deployment(classes ...string) Deployment {
	d := Deployment{Tenants: []string{"tv"}}
	d.BalancerSettings.Tenants = []balance.Tenant{{Quota: 7}}
	d.BalancerSettings.MaxAttempts = 4
	for _, text := range classes {
		d.Classes = append(d.Classes, text[:1])
		d.BalancerSettings.Classes = append(d.BalancerSettings.Classes, class(int(text[1]-'0')))
	}
	return d
}

func unused(int) bool { return false }

func TestGenerations_Adopt(t *testing.T) {
	g := NewGenerations(deployment("a1", "b1", "c1"))
	for _, step := range []struct {
		name     string
		next     Deployment
		after    time.Duration
		classes  map[string]int
		replaced []int
	}{
		{"added, in another order", deployment("d1", "c1", "a1", "b1"), 0, map[string]int{"a": 0, "b": 1, "c": 2, "d": 3}, []int{3}},
		{"redefined", deployment("a1", "b2", "c1"), 0, map[string]int{"a": 0, "b": 4, "c": 2}, []int{4}},
		{"as before", deployment("a1", "b1", "c1"), 0, map[string]int{"a": 0, "b": 1, "c": 2}, nil},
		{"dropped index stays unused", deployment("a1", "b3"), 0, map[string]int{"a": 0, "b": 5}, []int{5}},
		{"dropped index is reused", deployment("a1", "e1"), 2 * indexReuseDelay, map[string]int{"a": 0, "e": 1}, []int{1}},
	} {
		change := g.Adopt(startTime.Add(step.after), step.next, unused)
		if !reflect.DeepEqual(change.Classes, step.classes) || !slices.Equal(change.ReplacedClasses, step.replaced) {
			t.Errorf("%s: %v, replaced %v; want %v, replaced %v",
				step.name, change.Classes, change.ReplacedClasses, step.classes, step.replaced)
		}
		for name, index := range change.Classes {
			if change.Deployment.Classes[index] != name {
				t.Errorf("%s: index %d of %s is %s", step.name, index, name, change.Deployment.Classes[index])
			}
		}
	}
}

// Attempts, tenants and quotas are those of the new settings; values that only a restart applies stay.
func TestGenerations_Adopt_TenantsAndLimits(t *testing.T) {
	g := NewGenerations(deployment("a1"))
	next := deployment("a1")
	next.BalancerSettings.MaxAttempts = 2
	next.MaxOpen = 9
	next.BalancerSettings.Shards = 99
	next.Tenants = []string{"radio", "tv"}
	next.BalancerSettings.Tenants = []balance.Tenant{{Quota: 1}, {Quota: 2}}
	change := g.Adopt(startTime, next, unused)
	merged := change.Deployment
	wantTenants := []balance.Tenant{{Quota: 2}, {Quota: 1}}
	if change.Tenants["tv"] != 0 || change.Tenants["radio"] != 1 ||
		!slices.Equal(merged.BalancerSettings.Tenants, wantTenants) {
		t.Errorf("%v, %v", change.Tenants, merged.BalancerSettings.Tenants)
	}
	if merged.BalancerSettings.MaxAttempts != 2 || merged.MaxOpen != 9 || merged.BalancerSettings.Shards != 0 {
		t.Errorf("%+v", merged)
	}
	if next.SameButForReload(deployment("a1")) || !deployment("b1", "c2").SameButForReload(deployment("a1")) {
		t.Error("values that only a restart applies are not distinguished from those of a reload")
	}
}

// For any sequence of settings, a name always refers to its current definition, and the index of an open query keeps
// the definition under which the query arrived.
func TestGenerations_IndicesKeepTheirMeaning(t *testing.T) {
	type openQuery struct {
		index int
		class balance.Class
	}
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := NewGenerations(deployment("a1"))
		current := g.Adopt(startTime, deployment("a1"), unused)
		var open []openQuery
		now := startTime
		for range 60 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Second)
			var names []string
			for _, letter := range "abcde" {
				if random.IntN(2) == 0 {
					names = append(names, fmt.Sprintf("%c%d", letter, 1+random.IntN(3)))
				}
			}
			next := deployment(names...)
			current = g.Adopt(now, next, func(index int) bool {
				return slices.ContainsFunc(open, func(q openQuery) bool { return q.index == index })
			})
			for i, name := range next.Classes {
				if got := current.Deployment.BalancerSettings.Classes[current.Classes[name]]; got !=
					next.BalancerSettings.Classes[i] {
					t.Fatalf("seed %d: %s is %v", seed, name, got)
				}
			}
			for _, q := range open {
				if current.Deployment.BalancerSettings.Classes[q.index] != q.class {
					t.Fatalf("seed %d: an open query's class has changed", seed)
				}
			}
			open = slices.DeleteFunc(open, func(openQuery) bool { return random.IntN(3) == 0 })
			for _, index := range current.Classes {
				open = append(open, openQuery{index, current.Deployment.BalancerSettings.Classes[index]})
			}
		}
		if classes := len(current.Deployment.Classes); classes > 40 {
			t.Errorf("seed %d: %d indices for at most five classes", seed, classes)
		}
	}
}
