package members_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// entryOf returns the value of an entry as a node writes it, after the change.
func entryOf(change func(m map[string]any)) string {
	m := map[string]any{
		"node": "odd", "incarnation": 1, "zone": "zone_1", "peer_address": "odd:1", "caller_address": "", "service": "keys", "slots": 12, "state": "up",
	}
	change(m)
	value, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(value)
}

// set returns the value of an entry with one other field.
func set(field string, value any) string {
	return entryOf(func(m map[string]any) { m[field] = value })
}

// without returns the value of an entry that lacks a field.
func without(field string) string {
	return entryOf(func(m map[string]any) { delete(m, field) })
}

// nested returns an array in an array, and so on, to the depth.
func nested(depth int) string {
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

// oddEntries are values that no node writes, by what is odd about them.
var oddEntries = map[string]string{
	"deeply nested":          nested(200_000),
	"deeply nested field":    `{"node":"odd","x":` + nested(200_000) + `}`,
	"number too large":       set("slots", json.Number("1e400")),
	"revision too large":     set("incarnation", json.Number("99999999999999999999")),
	"negative incarnation":   set("incarnation", -1),
	"fraction":               set("slots", 0.5),
	"port out of range":      set("peer_address", "10.0.0.1:99999"),
	"port 0":                 set("peer_address", "10.0.0.1:0"),
	"no port":                set("peer_address", "10.0.0.1"),
	"no address":             without("peer_address"),
	"negative slots":         set("slots", -5),
	"slots of 2^63-1":        set("slots", 1<<63-1),
	"no slots":               without("slots"),
	"no service":             without("service"),
	"no incarnation":         without("incarnation"),
	"no state":               without("state"),
	"unknown state":          set("state", "resting"),
	"name of a live node":    set("node", "node_2"),
	"other type":             set("zone", 7),
	"null":                   "null",
	"empty":                  "",
	"bytes that aren't text": "\xff\xfe\x00",
	"list":                   "[]",
	"cut short":              set("zone", "zone_1")[:30],
}

// checkMembers checks that node_1 and node_2 are in use and that there is no other member.
func checkMembers(is *is.I, loop *board.Loop) {
	is.Helper()
	b := loop.Snapshot()
	is.Equal(len(b.Members.ByNode), 2)
	is.Equal(len(b.Members.ByService["keys"]), 2)
	for name, m := range b.Members.ByNode {
		is.Equal(m.PeerAddress, name+":1")
		is.Equal(m.Slots, 12)
		is.True(!m.Unconfirmed)
	}
}

// Guards against one odd entry of another writer that becomes a member, or takes a live node out of use, whether it is under a
// key of its own or overwrites that of a live node.
func TestOddEntryHarmsNoMember(t *testing.T) {
	for _, key := range []string{"odd", "node_2", "node_1"} {
		for name, value := range oddEntries {
			t.Run(fmt.Sprintf("%s under %s", name, key), func(t *testing.T) {
				runStore(t, func(f *storeTest) {
					one := f.start("node_1", 1)
					f.start("node_2", 2)
					time.Sleep(2 * time.Second)
					checkMembers(f.is, one)
					f.store.ForcePut("members/"+key, []byte(value))
					time.Sleep(2 * time.Second)
					checkMembers(f.is, one)
					reader := f.startReader() // it begins with a list
					time.Sleep(2 * time.Second)
					checkMembers(f.is, reader)
				})
			})
		}
	}
}

// Guards against an entry at the peer address of a live node that takes this node out of use, although it names no later
// start.
func TestEntryAtTheAddressOfALiveNode(t *testing.T) {
	for name, incarnation := range map[string]uint64{"earlier start": 1, "no start": 0} {
		t.Run(name, func(t *testing.T) {
			runStore(t, func(f *storeTest) {
				one := f.start("node_1", 5)
				f.start("node_2", 6)
				time.Sleep(2 * time.Second)
				f.store.ForcePut("members/odd", []byte(entryOf(func(m map[string]any) {
					m["peer_address"], m["incarnation"] = "node_2:1", incarnation
				})))
				time.Sleep(2 * time.Second)
				m, known := findMember(one, "node_2")
				f.is.True(known)
				f.is.Equal(m.State, membership.Up)
			})
		})
	}
}

// Guards against a leaving member that is in use again because its entry was overwritten by one that can't be read.
func TestOddEntryBringsNoLeavingMemberBack(t *testing.T) {
	runStore(t, func(f *storeTest) {
		one := f.start("node_1", 1)
		f.store.ForcePut("members/node_2", []byte(entryOf(func(m map[string]any) {
			m["node"], m["peer_address"], m["state"] = "node_2", "node_2:1", membership.Leaving
		})))
		time.Sleep(time.Second)
		f.store.ForcePut("members/node_2", []byte("\xff"))
		time.Sleep(time.Second)
		f.is.Equal(len(one.Snapshot().Members.ByService["keys"]), 1)
	})
}

// Guards against two processes of one name that overwrite each other's entry without end.
func TestEarlierProcessLeavesTheEntryToALaterOne(t *testing.T) {
	runStore(t, func(f *storeTest) {
		f.start("node_1", 1)
		time.Sleep(2 * time.Second)
		f.start("node_1", 2)
		time.Sleep(2 * time.Second)
		revision := f.store.Item("members/node_1").Revision
		time.Sleep(10 * time.Second)
		f.is.Equal(f.store.Item("members/node_1").Revision, revision)
		reader := f.startReader()
		time.Sleep(time.Second)
		m, _ := findMember(reader, "node_1")
		f.is.Equal(m.Incarnation, uint64(2))
	})
}
