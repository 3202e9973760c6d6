package dev

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/config"
)

func TestExamplesAreValid(t *testing.T) {
	for _, dir := range []string{"", "../../examples/soap-office", "../../examples/glorieta"} {
		Convey("Configuration "+dir, t, func() {
			files, err := ReadFiles(dir)
			So(err, ShouldBeNil)
			snapshot, err := config.Build(1, files)
			So(err, ShouldBeNil)
			So(len(snapshot.DataCentres), ShouldEqual, 3)
			_, known := snapshot.OrganisationByKeyHash(config.Digest([]byte(organisationKey)))
			So(known, ShouldBeTrue)
			if dir != "" {
				So(len(snapshot.BackendServers), ShouldEqual, 15)
				So(len(snapshot.Organisations), ShouldEqual, 10)
			}
		})
	}
}

func TestCheckLoopback(t *testing.T) {
	Convey("Only loopback addresses are accepted", t, func() {
		So(CheckLoopback("127.0.0.1:8080"), ShouldBeNil)
		So(CheckLoopback("localhost:8080"), ShouldBeNil)
		So(CheckLoopback("[::1]:8080"), ShouldBeNil)
		So(CheckLoopback("0.0.0.0:8080"), ShouldNotBeNil)
		So(CheckLoopback(":8080"), ShouldNotBeNil)
		So(CheckLoopback("127.0.0.1"), ShouldNotBeNil)
	})
}
