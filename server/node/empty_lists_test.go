package node

import (
	"bytes"
	"encoding/gob"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/wire"
)

// Guards against a key that opens work because a list of the configuration is empty, was
// dropped on the way to a peer, or is missing.
func TestEmptyListsReachPeers(t *testing.T) {
	const held = `{"organisations": [{"name": "org", "weight": 1, "key_sha256": ["` + heldKey + `"]}]}`
	Convey("A peer admits the key before, and nobody after the last organisation is removed", t, func() {
		for _, text := range []string{`{"organisations": []}`, `{"organisations": null}`, `{}`, `{"organisations": [{"name": "org", "weight": 1, "key_sha256": []}]}`} {
			before, err := config.Build(1, config.Files{config.FileOrganisations: []byte(held)})
			So(err, ShouldBeNil)
			_, admitted := before.OrganisationByKeyHash(heldKey)
			So(admitted, ShouldBeTrue)
			accepted, err := config.Build(2, config.Files{config.FileOrganisations: []byte(text)})
			So(err, ShouldBeNil)
			for _, current := range []*config.Snapshot{before, nil} {
				files := config.Files{}
				if current != nil {
					files = current.Files
				}
				sent := wire.Configuration{Revision: 2, Versions: accepted.Versions, Splices: map[string]config.Splice{
					config.FileOrganisations: config.NewSplice(files[config.FileOrganisations], []byte(text)),
				}}
				var encoded bytes.Buffer
				So(gob.NewEncoder(&encoded).Encode(sent), ShouldBeNil)
				var received wire.Configuration
				So(gob.NewDecoder(&encoded).Decode(&received), ShouldBeNil)
				snapshot, err := buildSnapshot(current, received)
				So(err, ShouldBeNil)
				So(string(snapshot.Files[config.FileOrganisations]), ShouldEqual, text)
				_, admitted := snapshot.OrganisationByKeyHash(heldKey)
				So(admitted, ShouldBeFalse)
				_, admitted = snapshot.OrganisationByKeyHash("")
				So(admitted, ShouldBeFalse)
			}
		}
	})
}

const heldKey = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
