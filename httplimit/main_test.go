package httplimit

import (
	"os"
	"testing"

	"github.com/daisywall/daisywall/synctestmain"
)

func TestMain(m *testing.M) {
	synctestmain.LimitProcs()
	os.Exit(m.Run())
}
