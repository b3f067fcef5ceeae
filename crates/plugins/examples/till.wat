;; A header for the till: every answer says by which plan it was metered.
(module
  (memory (export "memory") 1)
  ;; 0: the verdict with its header; 1024: the record
  (data (i32.const 16) "x-shop-plan: ")
  (func (export "frosthatch_abi") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (func (export "on_answer") (param $at i32) (param $length i32) (result i64)
    (local $class i32) (local $plan i32) (local $end i32)
    (local.set $class (i32.load16_u offset=24 (local.get $at)))
    (local.set $plan (i32.load16_u offset=26 (local.get $at)))
    (memory.copy
      (i32.const 29)
      (i32.add (i32.add (local.get $at) (i32.const 32)) (local.get $class))
      (local.get $plan))
    (local.set $end (i32.add (i32.const 29) (local.get $plan)))
    (i32.store8 (local.get $end) (i32.const 10))
    ;; Go on with changes: the length of the headers, everything else as it is.
    (i32.store (i32.const 0) (i32.or (i32.const 1) (i32.shl (i32.sub (local.get $end) (i32.const 15)) (i32.const 16))))
    (i32.store (i32.const 4) (i32.const 0))
    (i64.store (i32.const 8) (i64.const 0))
    ;; Place 0, so many bytes.
    (i64.extend_i32_u (i32.add (local.get $end) (i32.const 1)))))
