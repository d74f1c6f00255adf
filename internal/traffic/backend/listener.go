package backend

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// AnnouncePath is where a backend server announces itself to its local node, again and again.
const AnnouncePath = "/announce"

// Announcement is what a backend server says of itself, as JSON.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP and port that take requests.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Instance names this start of the backend server; empty for no name.
	Instance string `json:"instance,omitempty"`
	// Started is when that was, in milliseconds of Unix time, and Sequence counts the announcements since; 0 for
	// unknown.
	Started  int64  `json:"started,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Leaving says that the backend server takes no new work.
	Leaving bool `json:"leaving"`
}

// maxAnnouncement is in bytes.
const maxAnnouncement = 4 << 10

// RegisterAnnouncements adds the route for announcements to the router.
func RegisterAnnouncements(router *httprouter.Router, announce func(Announcement)) {
	router.POST(AnnouncePath, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var a Announcement
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
		if err := decoder.Decode(&a); err != nil {
			http.Error(w, "announcement is not JSON: "+err.Error(), http.StatusBadRequest)
			return
		}
		if a.Service == "" || a.Address == "" || a.Slots <= 0 || a.Connections <= 0 {
			http.Error(w, "service, address, slots or connections is missing", http.StatusBadRequest)
			return
		}
		announce(a)
		w.WriteHeader(http.StatusNoContent)
	})
}
