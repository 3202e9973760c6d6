package wholesystem

import "testing"

// Data centre b is returned to service, but the other data centres don't learn of
// it because the reply is lost and the links are cut. Right after that, an entry in
// b takes out data centre a, and the table service goes down. Processes that don't
// know of the return of b don't require a contact in b as evidence, so an agent in
// a can start work although its data centre has been taken out.
func TestTakeOutThroughADataCentreJustReturned(t *testing.T) {
	if !*knownRedFlag {
		t.Skip("listed in KNOWN-RED.txt; run it with -wholesystem.known-red")
	}
	w := newWorld(3, 3, 1, 0, new(counts))
	w.warmUp(10)
	w.submitChange(w.processes[0], "b", true)
	w.advance(40, true)
	w.submitChange(w.processes[2], "b", false)
	w.loseSubmitReply()
	for _, pair := range [][2]string{{"", "a"}, {"", "c"}, {"a", "b"}, {"b", "c"}} {
		w.cutLinks[pair] = true
	}
	w.advance(40, true)
	w.submitChange(w.processes[1], "a", true)
	w.advance(2, true)
	if last := w.store.revisions[len(w.store.revisions)-1]; !last.acknowledged || !last.snapshot.DataCentres["a"].TakenOut {
		t.Fatal("take-out of data centre a was not accepted")
	}
	w.store.up = false
	w.advance(105, true)
	w.sendRequests(w.processes[3], 2)
	w.advance(2, true)
	if w.violation != nil {
		t.Fatal(w.violation)
	}
}
