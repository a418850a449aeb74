//go:build race

package synctestmain

const raceEnabled = true
