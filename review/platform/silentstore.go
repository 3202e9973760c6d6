package main

import "time"

const (
	silence      = 8 * time.Second // The longest that the site file has for a silent store.
	changeBefore = 400 * time.Millisecond
	changeAfter  = 200 * time.Millisecond
	observation  = 6 * time.Second // After the end of the silence.
	callInterval = 10 * time.Millisecond
)

// playSilentStore lets the store be silent for a while and then replaces a key.
func playSilentStore(t *trial, trouble bool) (broken, checked int, err error) {
	if err := t.start(t.storeAddress()); err != nil {
		return 0, 0, err
	}
	time.Sleep(contactTime)
	finished := t.callAll(callInterval, time.Now().Add(changeBefore+silence+observation))
	if err := t.putConfiguration(9, oldKey); err != nil {
		return 0, 0, err
	}
	t.logf("version 9 was acknowledged; nothing changes for callers")
	time.Sleep(changeBefore)
	if trouble {
		t.store.setSilent(true)
		t.logf("the store is silent")
	}
	time.Sleep(silence)
	t.store.setSilent(false)
	silentUntil := time.Now()
	if trouble {
		t.logf("the store answers again")
	}
	time.Sleep(changeAfter)
	acknowledged, err := t.changeKey()
	if err != nil {
		return 0, 0, err
	}
	<-finished
	bound := acknowledged.Add(configApply)
	if inTouch := silentUntil.Add(contactTime); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	broken, checked = t.checkRefusals(bound)
	return broken, checked, nil
}
