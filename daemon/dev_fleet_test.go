package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitForBody polls a URL until the response body contains the text.
func waitForBody(t *testing.T, url, text string) {
	t.Helper()
	var last string
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if last = string(body); strings.Contains(last, text) {
			return
		}
	}
	t.Fatalf("%s: %s", url, last)
}

func TestDevFleetCompletesJobAfterLeaderStops(t *testing.T) {
	is := is.New(t)
	f, err := StartDevFleet(context.Background())
	is.NoErr(err)
	defer f.Stop()
	job := f.URL + "/v1/queues/" + string(DevQueue) + "/jobs/a"
	waitForBody(t, f.URL+"/v1/queues/"+string(DevQueue), "waiting")
	req, err := http.NewRequest(http.MethodPut, job, bytes.NewBufferString(
		`{"steps":[{"tasks":3,"resources":{"milli_cpu":500,"memory_mb":100}},{"tasks":1,"after":[0]}]}`))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	_, found := f.StopLeader()
	is.True(found)
	waitForBody(t, job, "completed")
}

func TestPlatformMainRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "boot.json")
	is.NoErr(os.WriteFile(path, []byte(`{"node":"n"}`), 0o600))
	t.Setenv("DAISYWALL_CONFIG", path)
	is.True(StartedByPlatform())
	is.Equal(PlatformMain("daisywall-agent", nil, RunPlatformAgent), exitInvalid)
	is.Equal(PlatformMain("daisywall-agent", []string{"--check"}, RunPlatformAgent), exitInvalid)
	is.NoErr(os.WriteFile(path, []byte(`{"node":"n","ip":"127.0.0.1","zone":"z","internal_ports":[7720,7735],
		"bounds":{"hold_max_ms":6000,"grace_s":6},"platform":{"address":"127.0.0.1:1"}}`), 0o600))
	is.Equal(PlatformMain("daisywall-agent", []string{"--check"}, RunPlatformAgent), exitOK)
	is.Equal(PlatformMain("daisywall-agent", []string{"--unknown"}, RunPlatformAgent), exitInvalid)
}
