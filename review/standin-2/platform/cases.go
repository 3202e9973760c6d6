package main

// cases are the cases by name.
var cases = map[string]func(f *fleet) (broken bool){
	"accused":     playAccused,
	"last-tenant": playLastTenant,
}
