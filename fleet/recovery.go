package fleet

import (
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
)

// recoverAs turns a panic of the calling function into a *structs.PanicError in
// err. It must be deferred.
func recoverAs(err *error, operation string, log *zap.Logger) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	log.Error("panic", zap.String("operation", operation), zap.Any("value", v), zap.ByteString("stack", stack))
	*err = &structs.PanicError{Operation: operation, Value: v, Stack: stack}
}
